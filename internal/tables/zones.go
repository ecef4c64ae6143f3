package tables

import (
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/decision/zonehealth"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Zones holds which availability zones are considered unreachable, the evidence for it, and the attempts that this daemon has
// in flight in other zones. While all zones are reachable, reading the state and recording replies take no lock. Invariant:
// no attempt stays in flight in an unreachable zone. Owner: dispatch.
type Zones struct {
	mu      lockorder.Mutex
	start   time.Time
	records atomic.Pointer[map[model.AvailabilityZone]*zoneRecord]
	// unreachableCount is the number of unreachable zones.
	unreachableCount atomic.Int32
	inFlight         map[backend.AttemptID]zoneAttempt
}

// zoneRecord is what is known about one zone.
type zoneRecord struct {
	// lastReply is when anything in the zone last replied, in nanoseconds since Zones.start.
	lastReply   atomic.Int64
	unreachable atomic.Bool
	// roundTrip is the shortest time in which a daemon in the zone acknowledged a batch, in nanoseconds, or 0 if none did.
	roundTrip atomic.Int64
	// Zones.mu guards the fields below. outages is the number of times that the zone became unreachable, and lastConfirm
	// when RecordNoReply last requested a confirmation.
	evidence    zonehealth.Evidence
	outages     uint64
	lastConfirm time.Time
}

// zoneAttempt is an attempt in flight in a zone. abort ends it so that its sub-request can be sent to another zone.
type zoneAttempt struct {
	zone  model.AvailabilityZone
	abort func()
}

// NewZones returns a table in which all zones are reachable. Until a zone replies, now counts as the time of its last
// reply.
func NewZones(now time.Time) *Zones {
	t := &Zones{mu: lockorder.New(OrderZones), start: now, inFlight: map[backend.AttemptID]zoneAttempt{}}
	t.records.Store(&map[model.AvailabilityZone]*zoneRecord{})
	return t
}

// Unreachable reports whether the zone is considered unreachable.
func (t *Zones) Unreachable(zone model.AvailabilityZone) bool {
	if t.unreachableCount.Load() == 0 {
		return false
	}
	r := (*t.records.Load())[zone]
	return r != nil && r.unreachable.Load()
}

// Exclude marks candidates in unreachable zones as neither usable nor due for a probe.
func (t *Zones) Exclude(cs []routing.Candidate) {
	if t.unreachableCount.Load() == 0 {
		return
	}
	for i := range cs {
		if t.Unreachable(cs[i].Server.Zone) {
			cs[i].Usable, cs[i].Probe = false, false
		}
	}
}

// RecordReply records that something in the zone replied, and reports whether that made the zone reachable again.
func (t *Zones) RecordReply(zone model.AvailabilityZone, now time.Time) (recovered bool) {
	r := (*t.records.Load())[zone]
	if r == nil {
		r = t.record(zone)
	}
	r.lastReply.Store(int64(now.Sub(t.start)))
	if !r.unreachable.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.unreachable.Load() {
		return false
	}
	r.unreachable.Store(false)
	t.unreachableCount.Add(-1)
	return true
}

// RecordRoundTrip records the time after which a daemon in the zone acknowledged a batch.
func (t *Zones) RecordRoundTrip(zone model.AvailabilityZone, after time.Duration) {
	r := (*t.records.Load())[zone]
	if r == nil {
		r = t.record(zone)
	}
	if least := r.roundTrip.Load(); least == 0 || int64(after) < least {
		r.roundTrip.Store(int64(after))
	}
}

// RoundTrip returns the shortest recorded round-trip time to the zone, or 0 if none was recorded.
func (t *Zones) RoundTrip(zone model.AvailabilityZone) time.Duration {
	r := (*t.records.Load())[zone]
	if r == nil {
		return 0
	}
	return time.Duration(r.roundTrip.Load())
}

// Assessment is the result of RecordNoReply.
type Assessment struct {
	Verdict zonehealth.Verdict
	// Outage identifies an outage of the zone. It is set if the call made the zone unreachable.
	Outage uint64
	// Confirm means that the suspicion is to be confirmed by probes now.
	Confirm bool
}

// RecordNoReply records a call into the zone that got no reply in time and assesses whether the zone is reachable. It returns
// the zero Assessment if the zone is unreachable already. daemons are those that may own servers in the zone.
func (t *Zones) RecordNoReply(zone model.AvailabilityZone, c zonehealth.UnansweredCall, daemons []model.Member, now time.Time) Assessment {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordLocked(zone)
	if r.unreachable.Load() {
		return Assessment{}
	}
	lastReply := t.start.Add(time.Duration(r.lastReply.Load()))
	r.evidence.Add(c, lastReply, now)
	a := Assessment{Verdict: r.evidence.Verdict(daemons, lastReply, now)}
	switch a.Verdict {
	case zonehealth.Reachable:
	case zonehealth.Suspected:
		if now.Sub(r.lastConfirm) >= zonehealth.ConfirmInterval {
			r.lastConfirm = now
			a.Confirm = true
		}
	case zonehealth.Unreachable:
		r.evidence = zonehealth.Evidence{}
		r.outages++
		r.unreachable.Store(true)
		t.unreachableCount.Add(1)
		a.Outage = r.outages
	}
	return a
}

// record returns the zone's record and creates it if there is none.
func (t *Zones) record(zone model.AvailabilityZone) *zoneRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordLocked(zone)
}

// recordLocked is like record, with t.mu held by the caller. It replaces the map, which readers use without a lock.
func (t *Zones) recordLocked(zone model.AvailabilityZone) *zoneRecord {
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

// InOutage reports whether the given outage of the zone still lasts.
func (t *Zones) InOutage(zone model.AvailabilityZone, outage uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.records.Load())[zone]
	return r != nil && r.unreachable.Load() && r.outages == outage
}

// AddAttempt records an attempt that is about to be sent into the zone. It returns false, without recording the attempt, if
// the zone is unreachable. TakeAttempts returns abort if the zone becomes unreachable before RemoveAttempt is called.
func (t *Zones) AddAttempt(zone model.AvailabilityZone, id backend.AttemptID, abort func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Unreachable(zone) {
		return false
	}
	t.inFlight[id] = zoneAttempt{zone: zone, abort: abort}
	return true
}

// RemoveAttempt removes an attempt that ended.
func (t *Zones) RemoveAttempt(id backend.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, id)
}

// TakeAttempts removes the attempts in flight in the zone and returns the functions that abort them.
func (t *Zones) TakeAttempts(zone model.AvailabilityZone) []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var aborts []func()
	for id, a := range t.inFlight {
		if a.zone == zone {
			aborts = append(aborts, a.abort)
			delete(t.inFlight, id)
		}
	}
	return aborts
}
