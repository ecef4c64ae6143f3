package model

import "time"

// Member is what daemons tell each other about a daemon.
type Member struct {
	Instance    InstanceID
	Incarnation Incarnation
	Zone        AvailabilityZone
	// Address is the peers' address, host:port with an IP address as the host.
	Address string
	// Heartbeat grows by 1 each second of the incarnation's life.
	Heartbeat uint64
}

// NewerThan tells whether m is later news of its instance than other.
func (m Member) NewerThan(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Heartbeat > other.Heartbeat
}

// MemberReport is news of a member at second hand.
type MemberReport struct {
	Member
	// Silence is how long ago the teller had evidence of the member. Without it, news of a member that is gone could
	// circulate among daemons that start one after the other.
	Silence time.Duration
}

// RootHash is the SHA-256 of a configuration's root, in hexadecimal.
type RootHash string

// Offer names a revision that a daemon has in force. Revision 0 means that it has none.
type Offer struct {
	Revision Revision
	Root     RootHash
}

// Departure says that a backend server is leaving and gets no new work while Hold lasts. Hold is relative, so that
// daemons need no common clock.
type Departure struct {
	Server ServerName
	Hold   time.Duration
}
