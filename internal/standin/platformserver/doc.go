// Package platformserver is a stand-in for the platform, served over HTTP/JSON: a key-value store with
// compare-and-swap, leases and watches, and a list of instances that lags, with injected faults. A memplatform.Platform
// holds the data; this package adds the HTTP API, the faults, the rate limits and the counters.
//
// As in the rest of the code, commands and queries are apart: writes.go holds the commands, reads.go the queries. Package
// standin defines the lock order: faults before data.
package platformserver
