// Package backendhttp speaks to backend servers over HTTP/1.1 with JSON bodies. Wire types are exported for the server
// side (standin/backendserver).
package backendhttp
