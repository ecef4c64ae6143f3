// Package telemetry makes the daemon's logger and its metrics scope.
package telemetry
