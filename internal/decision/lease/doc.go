// Package lease decides, by the holder's own monotonic clock, whether the holder of a lease may still act on it.
package lease
