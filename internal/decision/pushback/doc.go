// Package pushback decides how long a server that refused a request with a retry hint gets no further requests, and when a
// caller may retry whose request every server refused in this way.
package pushback
