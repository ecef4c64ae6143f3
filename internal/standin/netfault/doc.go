// Package netfault provides HTTP endpoints for the stand-ins, with the network limits and faults of an instance: a limit
// on open connections, a setup delay for each new connection, crash and restart.
package netfault
