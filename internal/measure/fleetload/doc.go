// Package fleetload measures the control part of many daemons in one process, over loopback and against a platform
// stand-in that counts calls: what it costs the store and each daemon, and how long a change takes to be in force
// everywhere. The daemons have no callers' port and no records of backend servers. CPU includes the stand-in's share.
package fleetload
