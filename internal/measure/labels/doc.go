// Package labels defines the profiler labels that distinguish the components of the driver's process.
package labels

// Component is the key of the label.
const Component = "part"

// Values of Component.
const (
	Daemon  = "daemon"
	Standin = "standin"
	Driver  = "driver"
)
