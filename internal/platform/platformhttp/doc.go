// Package platformhttp is the client of the platform's HTTP/JSON API. Its wire types are exported for the server side
// (standin/platformserver).
package platformhttp
