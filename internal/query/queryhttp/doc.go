// Package queryhttp is the callers' and operators' HTTP/JSON encoding of the queries. It decides nothing.
package queryhttp
