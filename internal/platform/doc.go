// Package platform defines what oleandersill asks of the platform: a key-value store with compare-and-swap, leases and
// watches, and a lagging list of instances. Package platformhttp implements both over HTTP/JSON;
// standin/platformserver is the server side used in tests.
package platform
