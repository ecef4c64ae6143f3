package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
)

// Tick records that the process runs, and reports whether it was paused before.
func (t *Quotas) Tick(now time.Time) (paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if paused = t.reach.Tick(now); paused {
		t.regionSince = now
	}
	return paused
}

// QuotaConfirmations lists what is to be asked of other daemons: the confirmation of each zone, of one of two members, with the
// members that this daemon cannot reach, and whether the suspects respond.
type QuotaConfirmations struct {
	Zones    map[model.AvailabilityZone]quota.Choices
	Lost     []model.Member
	Suspects []model.Member
}

// Confirmations returns what is to be asked of other daemons now.
func (t *Quotas) Confirmations(now time.Time) QuotaConfirmations {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := QuotaConfirmations{
		Zones: map[model.AvailabilityZone]quota.Choices{}, Lost: t.reach.Lost(now), Suspects: t.reach.Suspects(),
	}
	for _, zone := range t.reach.Zones() {
		if speakers := t.reach.Speakers(zone); speakers[0] != nil {
			c.Zones[zone] = speakers
		}
	}
	return c
}

// Confirm answers a member that asks for a confirmation and states the members that it cannot reach.
func (t *Quotas) Confirm(from model.InstanceID, lost []model.Member, now time.Time) quota.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach.Confirm(from, lost, now)
}

// RecordConfirmation records the confirmation of a zone that was asked for at sent.
func (t *Quotas) RecordConfirmation(zone model.AvailabilityZone, c quota.Confirmation, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.RecordConfirmation(zone, c, sent, now)
}

// RecordProbe records whether a suspect responded to what was sent to it at sent.
func (t *Quotas) RecordProbe(instance model.InstanceID, responded bool, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.RecordProbe(instance, responded, sent, now)
}

// Weight returns the part of a quota that this daemon may grant for a workspace for which no other member ranks higher.
func (t *Quotas) Weight(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, t.share, _ = t.reach.Share(t.share[:0], nil, now)
	return t.share.Weight()
}

// BeginCheck reports whether a zone or member may be asked now: no answer of it is awaited. EndCheck must then be called.
func (t *Quotas) BeginCheck(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checking[name] {
		return false
	}
	t.checking[name] = true
	return true
}

// EndCheck records that the zone or member has answered, or not in time.
func (t *Quotas) EndCheck(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.checking, name)
}
