// Package backend defines what oleandersill asks of a backend server: the typed messages and the Server interface.
// Package backendhttp implements it over HTTP/JSON; standin/backendserver is the server side used in tests.
package backend
