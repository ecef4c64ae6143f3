// Package cluster is the command side of the measurement driver. It starts stand-ins and daemons over loopback TCP, emulates
// network latencies and partitions, applies the configuration and injects faults. Package observe is the query side; neither
// imports the other.
package cluster
