// Package commandrpc serves the commands that peers send over net/rpc: the service PeerCommands. It passes them to
// fleet.Agent and decides nothing itself.
package commandrpc
