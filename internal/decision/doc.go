// Package decision is the parent of the packages that make decisions. They take typed inputs, the current time and a
// random source as parameters and return typed results. None of them uses sockets, encodings, goroutines, locks or the
// wall clock, so they work with any front end, transport and clock. Package archtest checks their imports.
package decision
