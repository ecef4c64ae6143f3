// Package telemetry provides the daemon's logger and metrics.
package telemetry
