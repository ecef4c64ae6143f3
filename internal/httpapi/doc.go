// Package httpapi holds what the HTTP encodings of commands and queries share: headers, problems, and the reading of a
// caller's identity, service and deadline.
package httpapi
