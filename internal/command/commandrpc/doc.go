// Package commandrpc serves the commands that peers send over net/rpc: the service PeerCommands. It passes them to
// fleet.Agent and makes no decisions itself.
package commandrpc
