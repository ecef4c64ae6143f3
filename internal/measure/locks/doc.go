// Package locks defines the lock order of the measurement driver. Its orders are higher than those of the daemon (package
// tables) and of the stand-ins (package standin), since both call the driver's dialer.
package locks

import "oleandersill.example/oleandersill/internal/lockorder"

// The lock orders. No goroutine holds two of these locks at a time.
const (
	// OrderNetwork: cluster.Network, locations and partitions.
	OrderNetwork lockorder.Order = iota + 201
	// OrderArrivals: package load, the remaining arrivals and the delays of sends.
	OrderArrivals
	// OrderCollector: observe.Collector, samples and violations.
	OrderCollector
	// OrderCounter: package measure, the number of queries completed in a calibration.
	OrderCounter
	// OrderCluster: cluster.Cluster, the applied inventory, the daemons, the servers, the times at which servers began to
	// leave, and the results of configuration changes.
	OrderCluster
)
