// Package decision is the parent of the decision packages. They take typed inputs, the time and a random source as
// parameters and return typed outcomes. None of them uses sockets, encodings, goroutines, locks or the wall clock, so
// any front end, transport or clock can drive them; package archtest checks their imports.
package decision
