package quota

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Standing is whether a daemon grants the tokens of a workspace.
type Standing uint8

// The standings. The zero value is that of a daemon which does not know the workspace or its quota.
const (
	// NotKnown means that the daemon's configuration has no quota for the workspace.
	NotKnown Standing = iota
	// NotOwner means that another member, which ranks higher, may grant tokens.
	NotOwner
	// TakingOver means that the daemon will grant tokens once other daemons have certainly stopped.
	TakingOver
	// Owner means that the daemon grants tokens.
	Owner
)

// String returns the name of the standing in logs.
func (s Standing) String() string {
	switch s {
	case NotOwner:
		return "not_owner"
	case TakingOver:
		return "taking_over"
	case Owner:
		return "owner"
	default:
		return "not_known"
	}
}

// Share returns the standing of this daemon for a workspace for which the given candidates rank higher. For an Owner it appends the
// parts of the quota that the daemon may grant to buf, and for TakingOver it returns the time until it may.
func (r *Reach) Share(buf Share, higher []model.Member, now time.Time) (Standing, Share, time.Duration) {
	r.checkPause(now)
	if r.joined.IsZero() || !r.allLost(higher, now) {
		return NotOwner, buf, 0
	}
	start := r.joined.Add(JoinWait)
	if again := r.resumed.Add(Handover); again.After(start) {
		start = again
	}
	total := 0
	for _, n := range r.weights {
		total += n
	}
	wait := JoinWait
	for zone, n := range r.weights {
		from, confirmed := r.grantsFrom(zone, higher, start, now)
		switch {
		case confirmed && now.After(from):
			buf = append(buf, Term{Weight: float64(n) / float64(total), Age: now.Sub(from)})
		case confirmed:
			wait = min(wait, from.Sub(now))
		}
	}
	if len(buf) == 0 {
		return TakingOver, buf, wait
	}
	return Owner, buf, 0
}

// allLost reports whether this daemon reaches none of the members. Those that it may reach are probed from now on.
func (r *Reach) allLost(members []model.Member, now time.Time) bool {
	all := true
	for i := range members {
		id := members[i].Instance
		if _, departed := r.departed[id]; departed {
			continue
		}
		r.suspectMember(members[i], now)
		all = all && r.unbroken(claim{lost: id}, now)
	}
	return all
}

// grantsFrom returns from when on this daemon may grant the part of a zone, or false if the zone does not confirm that.
func (r *Reach) grantsFrom(zone model.AvailabilityZone, higher []model.Member, start, now time.Time) (time.Time, bool) {
	from := start
	// Nobody else can confirm for a zone of which this daemon is the only member.
	self := zone == r.self.Zone && r.alone()
	if !self && !r.extend(&from, claim{zone: zone}, now) {
		return from, false
	}
	for i := range higher {
		id := higher[i].Instance
		if !r.extend(&from, claim{lost: id}, now) || (!self && !r.extend(&from, claim{zone: zone, lost: id}, now)) {
			return from, false
		}
	}
	return from, true
}

// extend moves from to the end of the handover after the first confirmation of the claim, and reports whether it is confirmed.
func (r *Reach) extend(from *time.Time, c claim, now time.Time) bool {
	if !r.unbroken(c, now) {
		return false
	}
	if granted := r.evidence[c].since.Add(Handover); granted.After(*from) {
		*from = granted
	}
	return true
}
