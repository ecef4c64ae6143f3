package spread

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Silence after which a member counts as suspected or dead. A member that is wrongly suspected costs one more watch on
// the store at most.
const (
	SuspectAfter = 5 * time.Second
	DeadAfter    = 15 * time.Second
)

// Liveness is what a daemon holds of a member.
type Liveness uint8

// The states of a member.
const (
	Alive Liveness = iota
	Suspected
	Dead
)

// String returns the state's name as used in the status.
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

// KnownMember is a member with what this daemon knows about it.
type KnownMember struct {
	model.Member
	// LastSeen is when the member last showed a sign of life: a message, a higher heartbeat, or its first listing.
	LastSeen time.Time
	// Listed tells whether the platform's list names it.
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
