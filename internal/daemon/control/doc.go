// Package control composes the control part of a daemon: its tables of the fleet, its agent and the peers' port. The
// daemon uses it, and so does the measurement of the control part alone.
package control
