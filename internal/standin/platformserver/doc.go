// Package platformserver is a stand-in for the platform: a key-value store with compare-and-swap and watches, and a
// list of instances, held in memory and served over HTTP/JSON.
package platformserver
