// Package control assembles the control plane of a daemon: the tables that describe the fleet, the fleet agent and the
// peers' port. The daemon uses it, and so does the measurement of the control plane alone (package fleetload).
package control
