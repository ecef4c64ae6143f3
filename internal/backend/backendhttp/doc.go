// Package backendhttp implements package backend over HTTP/1.1 with JSON bodies. The wire types are exported for the server
// side, standin/backendserver.
package backendhttp
