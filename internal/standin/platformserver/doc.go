// Package platformserver is a stand-in for the platform, served over HTTP/JSON: a key-value store with
// compare-and-swap, leases and watches, and a list of instances that lags, with injected faults. The data lies in a
// memplatform.Platform; this package adds what a client meets on the wire.
//
// Files are divided like the rest of the code: writes.go holds the commands, reads.go the queries. The lock order is
// given in package standin: faults before data.
package platformserver
