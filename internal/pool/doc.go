// Package pool provides the daemon's bounded worker pools and its one shared timer.
package pool
