// Package platformhttp speaks to the platform over HTTP with JSON bodies. Wire types are exported for the server side
// (standin/platformserver).
package platformhttp
