package quota

import (
	"cmp"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Confirmation is what a member answers to another one that asks for its confirmation.
type Confirmation struct {
	// Member means that the asking daemon is among the members that this one knows.
	Member bool
	// Lost lists those of the stated members that this daemon cannot reach either.
	Lost []LostMember
	// Weights is set while this daemon divides quotas by earlier numbers of members, since a zone does not confirm.
	Weights Weights
}

// LostMember is a member that cannot be reached. Age is the time since it was last tried.
type LostMember struct {
	Instance model.InstanceID
	Age      time.Duration
}

// Zones returns the zones of which confirmations are to be asked, in order. This daemon's own zone is among them unless the daemon is
// its only member: an isolated daemon must not grant the part of a zone whose other members confirm another owner.
func (r *Reach) Zones() []model.AvailabilityZone {
	var out []model.AvailabilityZone
	for zone := range r.counted {
		if zone != r.self.Zone || !r.alone() {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// maxSharedSpeakers is the size up to which all daemons ask the same members of a zone, so that they get the same answers. In larger
// zones these would be asked too often.
const maxSharedSpeakers = 64

// Speakers returns the members of which this daemon asks the zone's confirmation: the second one if the first does not answer. For
// its own zone with a single other member, the second one belongs to another zone.
func (r *Reach) Speakers(zone model.AvailabilityZone) Choices {
	var inside, outside []model.Member
	for _, m := range r.members {
		switch {
		case m.Instance == r.self.Instance:
		case m.Zone == zone:
			inside = append(inside, m)
		default:
			outside = append(outside, m)
		}
	}
	key := string(zone)
	if len(inside) > maxSharedSpeakers {
		key += string(r.self.Instance)
	}
	ranked := highest(model.WorkspaceName(key), inside)
	if zone == r.self.Zone && len(inside) == 1 {
		ranked = append(ranked, highest(model.WorkspaceName(key), outside)...)
	}
	return FirstTwo(ranked, func(*model.Member) bool { return false })
}

// Suspects returns the members that are to be probed, since they may be lost.
func (r *Reach) Suspects() []model.Member {
	out := make([]model.Member, 0, len(r.suspects))
	for _, s := range r.suspects {
		out = append(out, s.member)
	}
	slices.SortFunc(out, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Lost returns the members that this daemon cannot reach or that left shortly ago, at most MaxSuspects. Other zones are asked to
// confirm that.
func (r *Reach) Lost(now time.Time) []model.Member {
	var out []model.Member
	for _, d := range r.departed {
		out = append(out, d.member)
	}
	for id, s := range r.suspects {
		if _, departed := r.departed[id]; !departed && r.unbroken(claim{lost: id}, now) {
			out = append(out, s.member)
		}
	}
	slices.SortFunc(out, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return out[:min(len(out), MaxSuspects)]
}

// suspectMember lets the member be probed for some time.
func (r *Reach) suspectMember(m model.Member, now time.Time) {
	if _, known := r.suspects[m.Instance]; !known && (len(r.suspects) >= MaxSuspects || m.Instance == r.self.Instance) {
		return
	}
	r.suspects[m.Instance] = suspect{member: m, until: now.Add(suspectMemory)}
}

// RecordProbe records whether a member responded to a probe that was sent at sent.
func (r *Reach) RecordProbe(instance model.InstanceID, responded bool, sent, now time.Time) {
	c := claim{lost: instance}
	if responded {
		delete(r.evidence, c)
		return
	}
	r.record(c, sent, now)
}

// Confirm returns the confirmation for a member that asks for it and states the members that it cannot reach. The member itself is
// evidently not lost.
func (r *Reach) Confirm(from model.InstanceID, lost []model.Member, now time.Time) Confirmation {
	delete(r.evidence, claim{lost: from})
	c := Confirmation{Member: contains(r.members, from)}
	for _, m := range lost[:min(len(lost), MaxSuspects)] {
		if !contains(r.members, m.Instance) {
			c.Lost = append(c.Lost, LostMember{Instance: m.Instance})
			continue
		}
		r.suspectMember(m, now)
		own := claim{lost: m.Instance}
		if r.unbroken(own, now) {
			c.Lost = append(c.Lost, LostMember{Instance: m.Instance, Age: now.Sub(r.evidence[own].last)})
		}
	}
	if r.settled && !r.confirmsAll(r.weights, now) {
		c.Weights = r.weights
	}
	return c
}

// RecordConfirmation records the confirmation of a zone that was asked for at sent.
func (r *Reach) RecordConfirmation(zone model.AvailabilityZone, c Confirmation, sent, now time.Time) {
	if c.Weights != nil && !r.settled {
		r.weights, r.settled = c.Weights, true
	}
	if !c.Member {
		return
	}
	r.record(claim{zone: zone}, sent, now)
	for _, l := range c.Lost {
		r.record(claim{zone: zone, lost: l.Instance}, sent.Add(-l.Age), now)
	}
}
