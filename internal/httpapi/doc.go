// Package httpapi holds what the HTTP handlers of commands and queries share: headers, error responses, the check of bearer
// tokens, and the parsing of a request's caller, service and deadline.
package httpapi
