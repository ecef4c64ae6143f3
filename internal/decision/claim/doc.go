// Package claim is the state machine that lets a non-idempotent request run at most once. A claim record is created by
// compare-and-swap before anything is sent; what a daemon may do next follows from the record alone.
package claim
