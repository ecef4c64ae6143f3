package gossip

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// unresponsiveSourceExclusion is how long a daemon that did not answer is not followed: about the time until its entry
	// expires.
	unresponsiveSourceExclusion = 30 * time.Second
	// staleSourceExclusion is how long a daemon that answered with stale data, or with none from the store, is not followed.
	staleSourceExclusion = 5 * time.Second
)

// SourceFault is the reason why a daemon is temporarily not followed.
type SourceFault uint8

const (
	// SourceUnresponsive means that the daemon did not answer.
	SourceUnresponsive SourceFault = iota
	// SourceStale means that the daemon answered, but its data is too old or it does not reach the store itself.
	SourceStale
)

// Position is the point up to which a daemon has followed the store.
type Position struct {
	Era      directory.Era
	Revision directory.Revision
	// VerifiedAt is a time at which the store's content was certainly not newer than Revision; zero if it is not known.
	// NeedsVerification means that the daemon benefits from a later one.
	VerifiedAt        boottime.Time
	NeedsVerification bool
	// Acknowledged is what is known of the configurations that the store has acknowledged. Its Version is that of the daemon's own
	// routing configuration, 0 if it has none.
	Acknowledged Acknowledgement
	// ConfirmedAt is the latest time at which the store is known to have been at Revision.
	ConfirmedAt time.Time
	// Leaving is how many of another daemon's leaving marks the daemon has received; 0 for its own position.
	Leaving directory.LeavingSequence
}

// Point returns the point in the store's history that the daemon has reached.
func (p Position) Point() directory.Point {
	return directory.Point{Era: p.Era, Revision: p.Revision}
}

// minFresher is the difference in age up to which fresher data does not justify a message.
const minFresher = 50 * time.Millisecond

// AheadOf reports whether p has a higher era or revision or a newer routing configuration than other, or is fresher by more than
// minFresher, so that a daemon at other benefits from the data of a daemon at p. A position of an earlier era is never ahead.
func (p Position) AheadOf(other Position) bool {
	if p.Era < other.Era {
		return false
	}
	return other.Point().Before(p.Point()) || p.Acknowledged.Version > other.Acknowledged.Version ||
		p.ConfirmedAt.Sub(other.ConfirmedAt) > minFresher || p.verifiedAfter(other)
}

// verifiedAfter reports whether a daemon at other benefits from the later verification at p.
func (p Position) verifiedAfter(other Position) bool {
	return other.NeedsVerification && (p.VerifiedAt.Sub(other.VerifiedAt) > minFresher ||
		p.Acknowledged.At.Sub(other.Acknowledged.At) > minFresher)
}

// SourceSelector selects the daemon from which self gets changes of the platform's store. The fleet's highest-ranked
// daemon by rendezvous hash reads the store, the highest-ranked daemon of each zone follows that daemon, and all others
// follow the highest-ranked daemon of their zone. A daemon only follows higher-ranked ones, so there are no cycles even if
// the daemons' views of the fleet differ. Daemons that support a lower protocol version than self do not take part, since their
// updates lack what self needs. A SourceSelector is not safe for concurrent use.
type SourceSelector struct {
	self model.Member
	// excludedUntil is when a daemon that failed as a source may be followed again.
	excludedUntil map[model.InstanceID]time.Time
}

// NewSourceSelector returns a selector for self without excluded sources.
func NewSourceSelector(self model.Member) *SourceSelector {
	return &SourceSelector{self: self, excludedUntil: map[model.InstanceID]time.Time{}}
}

// Exclude records that a source failed and keeps it from being selected for a time that depends on the fault.
func (s *SourceSelector) Exclude(source model.InstanceID, fault SourceFault, now time.Time) {
	exclusion := unresponsiveSourceExclusion
	if fault == SourceStale {
		exclusion = staleSourceExclusion
	}
	// Names of replaced daemons are not used again, so without this their entries would remain.
	maps.DeleteFunc(s.excludedUntil, func(_ model.InstanceID, until time.Time) bool { return !now.Before(until) })
	s.excludedUntil[source] = now.Add(exclusion)
}

// Pick returns the daemon that self follows, or false if self reads the store. A daemon without an address of its own,
// which no other daemon can follow, always reads the store.
func (s *SourceSelector) Pick(members []model.Member, now time.Time) (model.Member, bool) {
	if s.self.Address == "" {
		return model.Member{}, false
	}
	zoneHighest, fleetHighest := s.self, s.self
	for _, m := range members {
		if !s.suitable(&m) {
			continue
		}
		if m.Zone == s.self.Zone && !s.excluded(m.Instance, now) && ranksHigher(m, zoneHighest) {
			zoneHighest = m
		}
		if ranksHigher(m, fleetHighest) {
			fleetHighest = m
		}
	}
	if zoneHighest.Instance != s.self.Instance {
		return zoneHighest, true
	}
	if fleetHighest.Instance == s.self.Instance || s.excluded(fleetHighest.Instance, now) {
		return model.Member{}, false
	}
	return fleetHighest, true
}

// Leads reports whether self is the highest-ranked daemon of its zone, which the others of the zone follow.
func (s *SourceSelector) Leads(members []model.Member) bool {
	for _, m := range members {
		if s.suitable(&m) && m.Zone == s.self.Zone && ranksHigher(m, s.self) {
			return false
		}
	}
	return true
}

// suitable reports whether a member is another daemon that self can follow.
func (s *SourceSelector) suitable(m *model.Member) bool {
	return m.Address != "" && m.Instance != s.self.Instance && m.Protocol >= s.self.Protocol
}

func (s *SourceSelector) excluded(instance model.InstanceID, now time.Time) bool {
	return now.Before(s.excludedUntil[instance])
}

// ranksHigher reports whether a ranks higher than b in the order of all daemons of the fleet.
func ranksHigher(a, b model.Member) bool {
	wa, wb := weight(a.Zone, a.Instance), weight(b.Zone, b.Instance)
	return wa > wb || (wa == wb && a.Instance < b.Instance)
}
