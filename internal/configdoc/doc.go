// Package configdoc defines how a configuration is laid out in the store: immutable, content-hashed parts and one root
// that names them. It performs no I/O.
package configdoc
