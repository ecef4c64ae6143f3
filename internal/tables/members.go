package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// pruneAfter is the time since a member was last seen after which it is removed if the platform does not list it.
const pruneAfter = time.Minute

// Members holds the other daemons that this one knows. Invariant: information about a member is only replaced by newer
// information. Owner: command/fleet.
type Members struct {
	mu    lockorder.Mutex
	self  model.Member
	known map[model.InstanceID]*gossip.KnownMember
}

// NewMembers returns a table without other daemons.
func NewMembers(self model.Member) *Members {
	return &Members{
		mu:    lockorder.New(OrderMembers),
		self:  self,
		known: map[model.InstanceID]*gossip.KnownMember{},
	}
}

// Self returns this daemon's own entry.
func (t *Members) Self() model.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// IncrementHeartbeat increments this daemon's own heartbeat.
func (t *Members) IncrementHeartbeat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Heartbeat++
}

// Merge adds the members reported by a peer. A newer report of a known member is evidence that it is alive at now. For a
// member that was unknown, the evidence is as old as the peer reports.
func (t *Members) Merge(reports []model.MemberReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		k := t.known[r.Instance]
		switch {
		case k == nil:
			t.put(r.Member, now.Add(-max(0, r.Silence)))
		case r.NewerThan(k.Member):
			t.put(r.Member, now)
		}
	}
}

// RecordContact records a message received from the member itself. It has no effect if newer information is known.
func (t *Members) RecordContact(m model.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.known[m.Instance]; k == nil || !k.NewerThan(m) {
		t.put(m, now)
	}
}

// put adds or updates a member. It ignores this daemon itself and daemons without a peer address, to which nothing can be
// sent.
func (t *Members) put(m model.Member, lastSeen time.Time) {
	if m.Instance == t.self.Instance || m.Instance == "" || m.Address == "" {
		return
	}
	k := t.known[m.Instance]
	if k == nil {
		k = &gossip.KnownMember{}
		t.known[m.Instance] = k
	}
	k.Member = m
	k.LastSeen = lastSeen
}

// SetListed records the platform's list of a zone, or of all zones if zone is empty. The first listing of an unknown daemon
// is evidence that it is alive at now; later listings are not.
func (t *Members) SetListed(zone model.AvailabilityZone, listed []model.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.known {
		if zone == "" || k.Zone == zone {
			k.Listed = false
		}
	}
	for _, m := range listed {
		if t.known[m.Instance] == nil {
			t.put(m, now)
		}
		if k := t.known[m.Instance]; k != nil {
			k.Listed = true
			t.updateAddress(k, m, now)
		}
	}
}

// updateAddress sets the listed address and zone of a member that counts as dead: its instance may have been replaced.
func (t *Members) updateAddress(k *gossip.KnownMember, m model.Member, now time.Time) {
	if k.Liveness(now) == gossip.Dead {
		k.Address, k.Zone = m.Address, m.Zone
	}
}

// Prune removes members that are not listed and were last seen longer than pruneAfter ago.
func (t *Members) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.known {
		if !k.Listed && now.Sub(k.LastSeen) > pruneAfter {
			delete(t.known, id)
		}
	}
}

// Snapshot appends all known members to dst and returns it.
func (t *Members) Snapshot(dst []gossip.KnownMember) []gossip.KnownMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.known {
		dst = append(dst, *k)
	}
	return dst
}
