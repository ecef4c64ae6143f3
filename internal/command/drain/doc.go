// Package drain stops a daemon without interrupting requests in flight.
package drain
