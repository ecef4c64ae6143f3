// Package cluster is the command side of the measurement driver: it starts stand-ins and daemons over loopback TCP, adds
// the network's latencies, applies the configuration and injects faults. Package observe is the query side; neither
// imports the other.
package cluster
