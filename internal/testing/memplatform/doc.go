// Package memplatform holds a platform in memory: a platform.Store and a platform.InstanceList for unit tests, and the
// data behind standin/platformserver.
//
// reads.go and writes.go divide the calls; one lock (standin.OrderPlatformData) guards the table and is held across no
// wait. Versions of a key go on counting when the key is deleted and written again, so a compare-and-swap never takes a
// new value for an old one.
package memplatform
