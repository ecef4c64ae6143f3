// Package queryhttp serves the queries of callers and operators over HTTP with JSON bodies. It only encodes and decodes
// them; other packages make the decisions.
package queryhttp
