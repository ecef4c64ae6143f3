// Package fleetload measures the control planes of many daemons in one process, over loopback and against a platform
// stand-in that counts calls: the load on the store, the cost to each daemon, and the time for a change to be in force at
// all daemons. The daemons have no caller port and no records of backend servers. CPU usage includes that of the stand-in.
package fleetload
