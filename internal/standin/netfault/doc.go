// Package netfault gives the stand-ins an instance's network side with its limits and faults: a limit on open
// connections, a cost for each new one, crash and restart.
package netfault
