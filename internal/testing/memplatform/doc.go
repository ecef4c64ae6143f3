// Package memplatform implements a platform in memory: a platform.Store and a platform.InstanceList. Unit tests use it
// directly, and package standin/platformserver serves it over HTTP.
//
// Queries are in reads.go and commands in writes.go. One lock, with the order standin.OrderPlatformData, guards all data and
// is never held during a wait. The version of a key continues to increase when the key is deleted and written again, so that
// a compare-and-swap with an old version never succeeds on a new value.
package memplatform
