// Package pool provides the daemon's bounded worker pools, its shared timer, and a sleep with a context.
package pool
