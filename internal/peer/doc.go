// Package peer carries calls between daemons: net/rpc with gob over TCP, after an HTTP CONNECT with a bearer token. It
// defines the messages and knows nothing of what they are used for; services are registered by the daemon.
//
// A server runs one call at a time on a connection and bounds the number of connections, so that peers cannot make it
// start goroutines without limit. Both sides bound the size of a message before it is decoded.
package peer
