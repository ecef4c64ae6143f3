// Package lockorder provides a mutex with a place in a fixed order. When checking is on, as it is in tests, a goroutine
// that acquires a mutex whose order is not above every one that it holds panics with both names. When checking is off
// the cost is one atomic load.
package lockorder
