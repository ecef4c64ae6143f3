package model

import "time"

// Member describes a daemon in the messages that daemons exchange.
type Member struct {
	Instance    InstanceID
	Incarnation Incarnation
	Zone        AvailabilityZone
	// Address is the address of the daemon's peers' port, host:port with an IP address as the host.
	Address string
	// Capacity is the processor time that the daemon may use, in cores; 0 if it does not say.
	Capacity float64
	// Heartbeat increases by 1 each second while the incarnation runs.
	Heartbeat uint64
	// Protocol states which messages the daemon understands; 0 for daemons of versions that do not state it.
	Protocol Protocol
}

// Protocol is a version of the messages between daemons.
type Protocol uint8

// ProtocolWorkspaces is the first version that knows workspaces, home regions, evacuations and store eras.
const ProtocolWorkspaces Protocol = 1

// NewerThan reports whether m is more recent information about its instance than other.
func (m Member) NewerThan(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Heartbeat > other.Heartbeat
}

// MemberReport is what a daemon reports to another one about a third.
type MemberReport struct {
	Member
	// Silence is the time since the reporting daemon last had evidence that the member was alive. Without it, reports of a
	// member that is gone could circulate among daemons that start one after the other.
	Silence time.Duration
}

// RootHash is the SHA-256 of a configuration's root, in hexadecimal.
type RootHash string

// Offer identifies the configuration that a daemon has in force and offers to its peers. Revision 0 means that it has none.
type Offer struct {
	Revision Revision
	Root     RootHash
}

// Departure states that a backend server is leaving and gets no new work for the duration of Hold. Hold is relative, so
// that the clocks of daemons need not be synchronized.
type Departure struct {
	Server ServerName
	Hold   time.Duration
}
