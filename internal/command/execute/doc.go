// Package execute runs non-idempotent requests at most once. A request's idempotency key is claimed in the platform's
// store by compare-and-swap before anything is sent; the state of the claim determines the response to a repeated request.
//
// The outcomes complete and not run are reported only if they are proven. Complete: a server's own reply, or a recorded
// one. Not run: this request holds the claim, so that no earlier one ran, and nothing was sent or every server replied
// that it did not start the request; or nothing was done and the caller states that this is the key's first attempt.
// Unknown: everything else.
package execute
