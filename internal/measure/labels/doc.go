// Package labels names the profile labels that tell the parts of the driver's process apart.
package labels

// Part is the label's key.
const Part = "part"

// Values of Part.
const (
	Daemon  = "daemon"
	Standin = "standin"
	Driver  = "driver"
)
