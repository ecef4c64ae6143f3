// Package drain stops a daemon without cutting off requests in flight.
package drain
