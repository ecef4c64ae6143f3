// Package measure is the measurement driver. It starts real daemons and stand-ins at full size over loopback TCP, offers
// open-loop load, injects the faults of a scenario, and reports one row for each scenario, policy and rank. It decides
// nothing for the daemons; figures come from the callers' side and from the stand-ins' own records.
//
// Package cluster changes the system measured, package observe reads from it, and package load offers the load.
package measure
