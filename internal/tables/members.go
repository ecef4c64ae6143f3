package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// forgetAfter is the silence after which a member that the platform does not list is removed.
const forgetAfter = time.Minute

// Members holds the daemons that this one knows, itself apart. Invariant: the news of a member never gets older. Owner:
// command/fleet.
type Members struct {
	mu    lockorder.Mutex
	self  model.Member
	known map[model.InstanceID]*spread.Known
}

// NewMembers returns a table that knows no other daemon.
func NewMembers(self model.Member) *Members {
	return &Members{
		mu:    lockorder.New(OrderMembers),
		self:  self,
		known: map[model.InstanceID]*spread.Known{},
	}
}

// Self returns this daemon's own entry.
func (t *Members) Self() model.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// IncrementHeartbeat raises this daemon's own heartbeat.
func (t *Members) IncrementHeartbeat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Heartbeat++
}

// Merge records what a peer told of others. Later news of a known member is evidence of its life at now; a member that
// was unknown is as old as the peer says.
func (t *Members) Merge(told []model.Sighting, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range told {
		k := t.known[s.Instance]
		switch {
		case k == nil:
			t.put(s.Member, now.Add(-max(0, s.Silence)))
		case s.Fresher(k.Member):
			t.put(s.Member, now)
		}
	}
}

// RecordContact records a message from the member itself.
func (t *Members) RecordContact(m model.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.known[m.Instance]; k == nil || !k.Fresher(m) {
		t.put(m, now)
	}
}

// put ignores the daemon itself and daemons whose peers' port is closed: nothing can be sent to them.
func (t *Members) put(m model.Member, evidence time.Time) {
	if m.Instance == t.self.Instance || m.Instance == "" || m.Address == "" {
		return
	}
	k := t.known[m.Instance]
	if k == nil {
		k = &spread.Known{}
		t.known[m.Instance] = k
	}
	k.Member = m
	k.Evidence = evidence
}

// SetListed records the platform's list of a zone, or of all zones if zone is empty. A listed daemon that was unknown counts
// as alive from now, and later only by evidence.
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
			t.readdress(k, m, now)
		}
	}
}

// readdress takes the listed address of a member that has gone silent: its instance may have been replaced.
func (t *Members) readdress(k *spread.Known, m model.Member, now time.Time) {
	if k.Liveness(now) == spread.Dead {
		k.Address, k.Zone = m.Address, m.Zone
	}
}

// Prune removes members that are silent for long and not listed.
func (t *Members) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.known {
		if !k.Listed && now.Sub(k.Evidence) > forgetAfter {
			delete(t.known, id)
		}
	}
}

// Snapshot appends all known members to dst and returns it.
func (t *Members) Snapshot(dst []spread.Known) []spread.Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.known {
		dst = append(dst, *k)
	}
	return dst
}
