// Package forwarding defines the messages with which a daemon forwards idempotent sub-requests to the daemon that owns their
// server, and gets the results back. The messages do not depend on an encoding.
package forwarding
