// Package measure is the measurement driver. It starts real daemons and stand-ins for the backend servers and the platform
// over loopback TCP, at the full size of a deployment. It offers open-loop load, injects the faults of a scenario and reports
// one row per scenario, policy and rank. It takes no decisions for the daemons. The figures are measured by the callers or
// taken from the stand-ins' own records.
//
// Package cluster changes the system under test, package observe reads from it, and package load generates the load.
package measure
