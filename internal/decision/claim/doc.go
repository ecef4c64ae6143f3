// Package claim implements the state machine that makes a non-idempotent request run at most once. A daemon creates a claim
// record in the store by compare-and-swap before it sends anything; the record alone determines what a daemon may do next.
package claim
