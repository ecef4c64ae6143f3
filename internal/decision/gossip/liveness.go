package gossip

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Times since a member was last seen after which it counts as suspected or dead. A member that is wrongly suspected
// costs at most one additional watch on the store.
const (
	SuspectAfter = 5 * time.Second
	DeadAfter    = 15 * time.Second
)

// Liveness is a daemon's view of the state of a member.
type Liveness uint8

// States of a member.
const (
	Alive Liveness = iota
	Suspected
	Dead
)

// String returns the name of the state in status reports.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// KnownMember is a member with the local observations about it.
type KnownMember struct {
	model.Member
	// LastSeen is the time of the last evidence that the member is alive: a message from it, a peer's report with a higher
	// heartbeat or incarnation, or the first listing by the platform. For a member that was first reported by a peer, it is the
	// time at which that peer last had evidence.
	LastSeen time.Time
	// Listed reports whether the platform's list contains the member.
	Listed bool
}

// Liveness returns the member's state at now.
func (k *KnownMember) Liveness(now time.Time) Liveness {
	switch silence := now.Sub(k.LastSeen); {
	case silence < SuspectAfter:
		return Alive
	case silence < DeadAfter:
		return Suspected
	}
	return Dead
}
