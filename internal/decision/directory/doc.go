// Package directory keeps the set of backend servers to use, from their entries in the platform's store. Entries can be stale
// or malformed, and expire in a store outage although their servers still run. A change that a server writes to its entry
// takes effect immediately. The removal of an entry takes effect after a grace period, unless the server announced it.
package directory
