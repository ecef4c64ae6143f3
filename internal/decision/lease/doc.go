// Package lease decides whether a holder may still act on a lease, from the holder's own monotonic clock.
package lease
