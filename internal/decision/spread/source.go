package spread

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// brokenSourceRest is how long a daemon that did not answer is not followed: about the time until its entry lapses.
	brokenSourceRest = 30 * time.Second
	// lateSourceRest is how long a daemon that answered, but hears nothing from the store, is not followed.
	lateSourceRest = 5 * time.Second
)

// SourceFault says why a daemon is not followed for a while.
type SourceFault uint8

// The faults of a source.
const (
	// SourceUnresponsive: the daemon did not answer.
	SourceUnresponsive SourceFault = iota
	// SourceStale: the daemon answered and has not heard the store itself.
	SourceStale
)

// Position is how far a daemon has followed the store.
type Position struct {
	Revision directory.Revision
	// ConfirmedAt is when the store was known to be at Revision.
	ConfirmedAt time.Time
}

// minFresher is the least difference of age that is worth a message.
const minFresher = 50 * time.Millisecond

// AheadOf tells whether a daemon at p has something to tell a daemon at other.
func (p Position) AheadOf(other Position) bool {
	return p.Revision > other.Revision || p.ConfirmedAt.Sub(other.ConfirmedAt) > minFresher
}

// SourceSelector picks the daemon that self follows, where daemons follow the platform's store: the fleet's first daemon by
// rendezvous hash reads it, the first of each zone follows that one, and the others follow their zone's first. Each follows a
// daemon that comes before it, so that no two follow each other, whatever their views of the fleet. A SourceSelector is not safe for
// concurrent use.
type SourceSelector struct {
	self model.Member
	// resting holds until when a daemon is not followed.
	resting map[model.InstanceID]time.Time
}

// NewSourceSelector returns the sources of self.
func NewSourceSelector(self model.Member) *SourceSelector {
	return &SourceSelector{self: self, resting: map[model.InstanceID]time.Time{}}
}

// Exclude records that a source failed.
func (s *SourceSelector) Exclude(source model.InstanceID, fault SourceFault, now time.Time) {
	rest := brokenSourceRest
	if fault == SourceStale {
		rest = lateSourceRest
	}
	// Daemons that were replaced do not come back under their names.
	maps.DeleteFunc(s.resting, func(_ model.InstanceID, until time.Time) bool { return !now.Before(until) })
	s.resting[source] = now.Add(rest)
}

// Pick returns the daemon that self follows; false means that self reads the store.
func (s *SourceSelector) Pick(members []model.Member, now time.Time) (model.Member, bool) {
	if s.self.Address == "" {
		return model.Member{}, false
	}
	zoneFirst, fleetFirst := s.self, s.self
	for _, m := range members {
		if m.Address == "" || m.Instance == s.self.Instance {
			continue
		}
		if m.Zone == s.self.Zone && !s.rests(m.Instance, now) && comesBefore(m, zoneFirst) {
			zoneFirst = m
		}
		if comesBefore(m, fleetFirst) {
			fleetFirst = m
		}
	}
	if zoneFirst.Instance != s.self.Instance {
		return zoneFirst, true
	}
	if fleetFirst.Instance == s.self.Instance || s.rests(fleetFirst.Instance, now) {
		return model.Member{}, false
	}
	return fleetFirst, true
}

func (s *SourceSelector) rests(instance model.InstanceID, now time.Time) bool {
	return now.Before(s.resting[instance])
}

// comesBefore is the order of daemons over all zones.
func comesBefore(a, b model.Member) bool {
	wa, wb := weight(a.Zone, a.Instance), weight(b.Zone, b.Instance)
	return wa > wb || (wa == wb && a.Instance < b.Instance)
}
