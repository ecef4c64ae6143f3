// Package labels names the profile labels that tell the parts of the driver's process apart.
package labels

// Component is the label's key.
const Component = "part"

// Values of Component.
const (
	Daemon  = "daemon"
	Standin = "standin"
	Driver  = "driver"
)
