// Package commandrpc is the peers' net/rpc encoding of the commands: the service PeerCommands. It decides nothing.
package commandrpc
