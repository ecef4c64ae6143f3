package model

import "time"

// Registration is what a backend server says of itself in the platform's store.
type Registration struct {
	Name    ServerName
	Service ServiceName
	// Address is host:port, with an IP address as the host.
	Address string
	Zone    AvailabilityZone
	// Slots is the number of requests that the server runs at a time.
	Slots   int
	Leaving bool
	// WarmUp is how much longer the server is slow after its start, as it said when it wrote the entry.
	WarmUp time.Duration
	// Started distinguishes the lives of a server that starts again under its name; 0 if it did not say.
	Started int64
}
