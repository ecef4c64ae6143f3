// Package scripted provides a store and backend servers that follow a script of faults, one for each call. It is for tests of
// the outcomes of non-idempotent requests. The effect of a call may be delayed until the test clears the faults.
package scripted
