package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Weights holds the number of members of each zone, by which a quota is divided.
type Weights map[model.AvailabilityZone]int

// Reach is what a daemon knows about which part of a quota it may grant. Each zone has a part of the quota, in proportion to its
// members. A daemon may grant the part of a zone while members of the zone confirm it without interruption, and, for a workspace
// for which other members rank higher, while they also confirm that they cannot reach these. Two daemons therefore never grant the
// part of the same zone for the same workspace at the same time. Create it with NewReach. It is not safe for concurrent use.
type Reach struct {
	self    model.Member
	members []model.Member
	// departed holds the members that left the list less than DepartureMemory ago.
	departed map[model.InstanceID]departure
	// version increases when the members that may own a workspace change.
	version uint64
	// joined is when the daemon first was among the members; zero if it is not.
	joined time.Time
	// resumed is when the process started or last resumed after a pause.
	resumed  time.Time
	lastTick time.Time
	// evidence holds what was confirmed, and until when.
	evidence map[claim]span
	suspects map[model.InstanceID]suspect
	// counted is the number of members of each zone, and weights the one in force. They differ while a zone does not confirm: its
	// members may then be gone from the list on this side of a partition only. settled means that all zones have confirmed once.
	counted Weights
	weights Weights
	settled bool
}

type departure struct {
	member model.Member
	at     time.Time
}

type suspect struct {
	member model.Member
	until  time.Time
}

// claim is what a zone confirms: that it reaches this daemon or, if lost is set, that it does not reach that member. Without a zone it
// is what this daemon knows itself.
type claim struct {
	zone model.AvailabilityZone
	lost model.InstanceID
}

// span is an uninterrupted series of confirmations: when the first one was received, and when the last one was asked for.
type span struct{ since, last time.Time }

// NewReach returns the Reach of a process that runs at now and knows no members.
func NewReach(self model.Member, now time.Time) Reach {
	return Reach{
		self: self, resumed: now, lastTick: now, departed: map[model.InstanceID]departure{}, evidence: map[claim]span{},
		suspects: map[model.InstanceID]suspect{},
	}
}

// Self returns the name of this daemon.
func (r *Reach) Self() model.InstanceID { return r.self.Instance }

// Version returns a number that increases when the result of Candidates changes.
func (r *Reach) Version() uint64 { return r.version }

// Candidates returns the members that may own workspaces: the present ones, and those that left shortly ago.
func (r *Reach) Candidates() []model.Member {
	out := slices.Clone(r.members)
	for _, d := range r.departed {
		out = append(out, d.member)
	}
	return out
}

// SetMembers replaces the members, which are those that know quotas, sorted by instance.
func (r *Reach) SetMembers(members []model.Member, now time.Time) {
	for _, m := range r.members {
		if !contains(members, m.Instance) {
			r.departed[m.Instance] = departure{member: m, at: now}
		}
	}
	r.members = members
	r.counted = Weights{}
	for _, m := range members {
		delete(r.departed, m.Instance)
		r.counted[m.Zone]++
	}
	switch present := contains(members, r.self.Instance); {
	case !present:
		r.joined = time.Time{}
	case r.joined.IsZero():
		r.joined = now
	}
	r.version++
	r.applyWeights(now)
}

func contains(members []model.Member, instance model.InstanceID) bool {
	_, found := slices.BinarySearchFunc(members, instance, func(m model.Member, id model.InstanceID) int {
		return cmp.Compare(m.Instance, id)
	})
	return found
}

// Tick records that the process runs at now, and forgets what is out of date. It is called every TickInterval. It reports whether
// the process was paused before.
func (r *Reach) Tick(now time.Time) (paused bool) {
	paused = r.checkPause(now)
	r.lastTick = now
	for id, d := range r.departed {
		if now.Sub(d.at) >= DepartureMemory {
			delete(r.departed, id)
			r.version++
			continue
		}
		r.record(claim{lost: id}, now, now)
	}
	maps.DeleteFunc(r.suspects, func(_ model.InstanceID, s suspect) bool { return !now.Before(s.until) })
	maps.DeleteFunc(r.evidence, func(_ claim, s span) bool { return now.Sub(s.last) > DepartureMemory })
	r.applyWeights(now)
	return paused
}

// checkPause withdraws all confirmations if the process was paused since the last tick: other daemons may have taken over.
func (r *Reach) checkPause(now time.Time) bool {
	if now.Sub(r.lastTick) < minPause {
		return false
	}
	r.resumed, r.lastTick = now, now
	clear(r.evidence)
	return true
}

// record adds a confirmation that was asked for at sent and received at now.
func (r *Reach) record(c claim, sent, now time.Time) {
	s, known := r.evidence[c]
	if !known || now.Sub(s.last) > Validity {
		s.since = now
	}
	if sent.After(s.last) {
		s.last = sent
	}
	if now.Sub(s.last) <= Validity {
		r.evidence[c] = s
	}
}

// unbroken reports whether the claim is confirmed at now.
func (r *Reach) unbroken(c claim, now time.Time) bool {
	s, known := r.evidence[c]
	return known && now.Sub(s.last) <= Validity
}

// alone reports whether this daemon is the only member of its zone, so that nobody else can confirm for the zone.
func (r *Reach) alone() bool { return r.counted[r.self.Zone] <= 1 }

// applyWeights puts the counted weights in force unless a zone that has a part of the quota does not confirm. Otherwise both sides of
// a partition would divide the quota by the members that each of them still knows.
func (r *Reach) applyWeights(now time.Time) {
	confirmed := r.confirmsAll(r.weights, now)
	if !r.settled || confirmed {
		r.weights = r.counted
		r.settled = len(r.weights) > 0 && r.confirmsAll(r.weights, now)
	}
}

func (r *Reach) confirmsAll(weights Weights, now time.Time) bool {
	for zone := range weights {
		if zone != r.self.Zone && !r.unbroken(claim{zone: zone}, now) {
			return false
		}
	}
	return true
}
