// Package forwarding holds the messages by which daemons send each other's idempotent sub-requests through a server's
// owner. They carry no encoding of their own.
package forwarding
