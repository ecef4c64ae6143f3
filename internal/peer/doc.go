// Package peer implements calls between daemons: net/rpc with gob over TCP, after an HTTP CONNECT with a bearer token. It
// defines the messages but not the services, which the daemon registers.
//
// A server runs one call at a time on a connection and limits the number of connections, so that peers cannot make it
// start goroutines without limit. Both sides limit the size of a message before they decode it.
package peer
