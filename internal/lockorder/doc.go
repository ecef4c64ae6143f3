// Package lockorder provides a mutex with a position in a fixed lock order. When checking is enabled, as it is in tests, a
// goroutine panics with both orders if it acquires a mutex whose order is not above that of every mutex it holds. When
// checking is disabled, the cost is one atomic load per operation.
package lockorder
