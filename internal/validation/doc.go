// Package validation defines the problems reported for an operator's input, and the strict YAML decoder that documents and
// settings share. JSON is decoded the same way, since it is a subset of YAML.
package validation
