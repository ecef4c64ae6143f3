package model

import "time"

// Registration is the entry that a backend server writes about itself in the platform's store.
type Registration struct {
	Name    ServerName
	Service ServiceName
	// Address is host:port, with an IP address as the host.
	Address string
	Zone    AvailabilityZone
	// Slots is the number of requests that the server runs at a time.
	Slots   int
	Leaving bool
	// WarmUp is how much longer the server would be slow after its start, as stated when it wrote the entry.
	WarmUp time.Duration
	// Started distinguishes successive runs of servers with the same name; it is 0 if the entry does not state it.
	Started int64
}

// EntrySequence counts the entries that one run of a server has written. It is no part of the Registration, since it changes when the
// server writes the same entry again.
type EntrySequence int64

// LeavingServer identifies one run of a backend server that stated in a reply that it is leaving.
type LeavingServer struct {
	Server ServerName
	// Started is the run's Registration.Started.
	Started int64
}
