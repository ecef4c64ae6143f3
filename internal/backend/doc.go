// Package backend defines the interface to backend servers: the typed messages and the Server interface. Package backendhttp
// implements it over HTTP with JSON; standin/backendserver is the server side used in tests.
package backend
