package tables

import (
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/reach"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Zones holds which availability zones are held unreachable, the evidence for it, and the attempts that this daemon has
// in flight in other zones. Owner: dispatch. Reads of the judgement and signs of life take no lock while all zones are
// reachable. Invariant: no attempt stays in flight in an unreachable zone.
type Zones struct {
	mu       lockorder.Mutex
	start    time.Time
	records  atomic.Pointer[map[model.AvailabilityZone]*zoneRecord]
	lost     atomic.Int32
	inFlight map[backend.AttemptID]zoneAttempt
}

type zoneRecord struct {
	// heard is when anything in the zone last answered, in nanoseconds since the table's start.
	heard       atomic.Int64
	unreachable atomic.Bool
	// roundTrip is the least time in which a daemon there acknowledged a batch, in nanoseconds; 0 if none did.
	roundTrip atomic.Int64
	// The rest is under the table's lock: the evidence, the number of times that the zone became unreachable, and when a
	// suspicion was last checked.
	evidence   reach.Evidence
	judgements uint64
	checked    time.Time
}

type zoneAttempt struct {
	zone model.AvailabilityZone
	move func()
}

// NewZones returns a table in which all zones are reachable.
func NewZones(now time.Time) *Zones {
	t := &Zones{mu: lockorder.New(OrderZones), start: now, inFlight: map[backend.AttemptID]zoneAttempt{}}
	t.records.Store(&map[model.AvailabilityZone]*zoneRecord{})
	return t
}

// Unreachable tells whether the zone is held unreachable.
func (t *Zones) Unreachable(zone model.AvailabilityZone) bool {
	if t.lost.Load() == 0 {
		return false
	}
	r := (*t.records.Load())[zone]
	return r != nil && r.unreachable.Load()
}

// Exclude makes candidates in unreachable zones neither usable nor due a probe.
func (t *Zones) Exclude(cs []routing.Candidate) {
	if t.lost.Load() == 0 {
		return
	}
	for i := range cs {
		if t.Unreachable(cs[i].Server.Zone) {
			cs[i].Usable, cs[i].Probe = false, false
		}
	}
}

// RecordReply records that something in the zone answered, and tells whether that makes the zone reachable again.
func (t *Zones) RecordReply(zone model.AvailabilityZone, now time.Time) (recovered bool) {
	r := (*t.records.Load())[zone]
	if r == nil {
		r = t.add(zone)
	}
	r.heard.Store(int64(now.Sub(t.start)))
	if !r.unreachable.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.unreachable.Load() {
		return false
	}
	r.unreachable.Store(false)
	t.lost.Add(-1)
	return true
}

// RecordRoundTrip records that a daemon in the zone acknowledged a batch after the given time.
func (t *Zones) RecordRoundTrip(zone model.AvailabilityZone, after time.Duration) {
	r := (*t.records.Load())[zone]
	if r == nil {
		r = t.add(zone)
	}
	if least := r.roundTrip.Load(); least == 0 || int64(after) < least {
		r.roundTrip.Store(int64(after))
	}
}

// RoundTrip returns the round trip time to the zone, 0 if it is not known.
func (t *Zones) RoundTrip(zone model.AvailabilityZone) time.Duration {
	r := (*t.records.Load())[zone]
	if r == nil {
		return 0
	}
	return time.Duration(r.roundTrip.Load())
}

// Assessment is what follows from a silence.
type Assessment struct {
	Verdict reach.Verdict
	// Outage tells judgements of a zone as unreachable apart.
	Outage uint64
	// Confirm tells that the suspicion is to be checked now.
	Confirm bool
}

// RecordSilence records a call into the zone that was not answered in time, and judges the zone unless it is unreachable
// already. daemons are those that may own servers in the zone.
func (t *Zones) RecordSilence(zone model.AvailabilityZone, s reach.Silence, daemons []model.Member, now time.Time) Assessment {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(zone)
	if r.unreachable.Load() {
		return Assessment{}
	}
	heard := t.start.Add(time.Duration(r.heard.Load()))
	r.evidence.Add(s, heard, now)
	j := Assessment{Verdict: r.evidence.Judge(daemons, heard, now)}
	switch j.Verdict {
	case reach.Reachable:
	case reach.Suspected:
		if now.Sub(r.checked) >= reach.ConfirmInterval {
			r.checked = now
			j.Confirm = true
		}
	case reach.Unreachable:
		r.evidence = reach.Evidence{}
		r.judgements++
		r.unreachable.Store(true)
		t.lost.Add(1)
		j.Outage = r.judgements
	}
	return j
}

func (t *Zones) add(zone model.AvailabilityZone) *zoneRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(zone)
}

// record returns the zone's record, which the first call into the zone makes.
func (t *Zones) record(zone model.AvailabilityZone) *zoneRecord {
	old := *t.records.Load()
	if r := old[zone]; r != nil {
		return r
	}
	next := make(map[model.AvailabilityZone]*zoneRecord, len(old)+1)
	for name, r := range old {
		next[name] = r
	}
	r := &zoneRecord{}
	next[zone] = r
	t.records.Store(&next)
	return r
}

// InOutage tells whether the zone is still unreachable by the given judgement.
func (t *Zones) InOutage(zone model.AvailabilityZone, judgement uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.records.Load())[zone]
	return r != nil && r.unreachable.Load() && r.judgements == judgement
}

// AddAttempt records an attempt that is about to be sent into the zone, and tells whether the zone is reachable. move is
// called if the zone is lost before Leave.
func (t *Zones) AddAttempt(zone model.AvailabilityZone, id backend.AttemptID, move func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Unreachable(zone) {
		return false
	}
	t.inFlight[id] = zoneAttempt{zone: zone, move: move}
	return true
}

// RemoveAttempt records that an attempt ended.
func (t *Zones) RemoveAttempt(id backend.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, id)
}

// TakeAttempts removes the attempts in flight in the zone and returns how to move them.
func (t *Zones) TakeAttempts(zone model.AvailabilityZone) []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var moves []func()
	for id, a := range t.inFlight {
		if a.zone == zone {
			moves = append(moves, a.move)
			delete(t.inFlight, id)
		}
	}
	return moves
}
