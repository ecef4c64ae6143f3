// Package locks holds the lock order of the measurement driver. It starts above the orders of the daemon (package tables)
// and of the stand-ins (package standin), since the driver's dialer runs below both.
package locks

import "oleandersill.example/oleandersill/internal/lockorder"

// The orders. No two of them are held at a time.
const (
	// OrderNetwork: cluster.Network, places and partitions.
	OrderNetwork lockorder.Order = iota + 201
	// OrderArrivals: load, the count of late sends.
	OrderArrivals
	// OrderCollector: observe.Collector, samples and violations.
	OrderCollector
	// OrderCounter: the count of a calibration.
	OrderCounter
	// OrderCluster: cluster.Cluster, the inventory applied, the servers, and when servers began to leave.
	OrderCluster
)
