// Package platform defines the interfaces to the platform that oleandersill needs: a key-value store with compare-and-swap,
// leases and watches, and a list of instances that may be out of date. Package platformhttp implements both over HTTP/JSON;
// standin/platformserver is the server side used in tests.
package platform
