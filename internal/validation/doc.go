// Package validation holds the typed errors of operators' input, and the strict YAML decoding that documents and
// settings share. JSON is read the same way, since it is a subset of YAML.
package validation
