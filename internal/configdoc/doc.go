// Package configdoc defines how a configuration is stored: as immutable, content-addressed parts and a root that lists them.
// It performs no I/O.
package configdoc
