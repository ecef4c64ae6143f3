package zonehealth

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// minAckTimeout and minProbeTimeout are the timeouts of a call into a zone that is near or whose round-trip time is not
	// known. They suffice because a daemon only queues a batch, and a server replies to a probe immediately.
	minAckTimeout   = 250 * time.Millisecond
	minProbeTimeout = 300 * time.Millisecond
	// minSendTimeout is the minimum timeout of the delivery of a batch, and firstSendTimeout is that for a zone whose
	// round-trip time is not known.
	minSendTimeout   = 500 * time.Millisecond
	firstSendTimeout = 1500 * time.Millisecond
	// maxRoundTrips is the number of round trips that a call may take: two to connect, one for the call, and one to spare.
	maxRoundTrips = 4

	// minTargets is the number of unresponsive servers and daemons that make a zone unreachable.
	minTargets = 3
	// minDaemons is the number of unresponsive daemons that make a zone unreachable if they are all of its daemons. It is
	// lower than minTargets because small zones have only two daemons.
	minDaemons = 2
	// minWait distinguishes a target that does not reply from one whose address refuses connections, which takes a single
	// round trip.
	minWait = 200 * time.Millisecond
	// maxDetectionDelay is the maximum time between the due time of a reply and the detection that it is missing. A longer
	// delay means that this daemon itself was paused.
	maxDetectionDelay = 100 * time.Millisecond
	// ConfirmInterval is the minimum time between two rounds of probes that check a suspected zone.
	ConfirmInterval = time.Second
	// ConfirmProbes is the number of servers in a round. Together with the target that raised the suspicion they are enough
	// to make the zone unreachable.
	ConfirmProbes = minTargets - 1

	// evidenceTTL is the age after which an unanswered call no longer counts.
	evidenceTTL = 3 * time.Second
	// probeInterval is the mean interval between probes of an unreachable zone.
	probeInterval = 500 * time.Millisecond
)

// AckTimeout returns the time after which a daemon that did not acknowledge a batch counts as unresponsive. roundTrip is
// the round-trip time to its zone, or 0 if it is not known. The delivery itself continues until SendTimeout.
func AckTimeout(roundTrip time.Duration) time.Duration {
	return max(minAckTimeout, maxRoundTrips*roundTrip)
}

// ProbeTimeout returns the timeout of one probe of a zone with the given round-trip time, 0 if it is not known.
func ProbeTimeout(roundTrip time.Duration) time.Duration {
	return max(minProbeTimeout, maxRoundTrips*roundTrip)
}

// SendTimeout returns the timeout of the delivery of a batch to a zone with the given round-trip time, 0 if it is not known.
// A daemon that takes longer is paused or unreachable.
func SendTimeout(roundTrip time.Duration) time.Duration {
	if roundTrip == 0 {
		return firstSendTimeout
	}
	return max(minSendTimeout, maxRoundTrips*roundTrip)
}

// TargetKind is the kind of process that a call was made to.
type TargetKind uint8

// Kinds of targets.
const (
	Server TargetKind = iota
	Daemon
)

// UnansweredCall is a call to a target in a zone that got no reply by Due.
type UnansweredCall struct {
	Kind   TargetKind
	Target string
	Began  time.Time
	// Due is when the reply was due, and Noticed is when it was detected to be missing.
	Due     time.Time
	Noticed time.Time
}

// counts reports whether the call is evidence at now. It is not if anything in the zone replied while it was pending.
// lastReply is when anything in the zone last replied.
func (c *UnansweredCall) counts(lastReply, now time.Time) bool {
	return c.Target != "" && c.Began.After(lastReply) && c.Noticed.Sub(c.Began) >= minWait &&
		c.Noticed.Sub(c.Due) <= maxDetectionDelay && now.Sub(c.Noticed) <= evidenceTTL
}

// Evidence holds the latest unanswered call to each of up to minTargets targets in one zone. The zero value is empty. It
// is not safe for concurrent use.
type Evidence struct {
	calls [minTargets]UnansweredCall
}

// Add records an unanswered call. It replaces an earlier call to the same target or one that no longer counts, and is
// dropped if there is neither. lastReply is when anything in the zone last replied.
func (e *Evidence) Add(c UnansweredCall, lastReply, now time.Time) {
	free := -1
	for i := range e.calls {
		old := &e.calls[i]
		if old.Kind == c.Kind && old.Target == c.Target {
			free = i
			break
		}
		if free < 0 && !old.counts(lastReply, now) {
			free = i
		}
	}
	if free >= 0 {
		e.calls[free] = c
	}
}

// Verdict is the state of a zone according to the evidence.
type Verdict uint8

const (
	// Reachable means that no unanswered call counts.
	Reachable Verdict = iota
	// Suspected means that unanswered calls count, but too few to distinguish an unreachable zone from the failure of single
	// servers or daemons.
	Suspected
	// Unreachable means that three of the zone's servers and daemons are unresponsive, or all of its daemons if there are at
	// least two.
	Unreachable
)

// Verdict returns the verdict at now. daemons are those that may own servers in the zone, and lastReply is when anything
// in the zone last replied.
func (e *Evidence) Verdict(daemons []model.Member, lastReply, now time.Time) Verdict {
	targets, unresponsiveDaemons := 0, 0
	for i := range e.calls {
		c := &e.calls[i]
		if !c.counts(lastReply, now) {
			continue
		}
		targets++
		if c.Kind == Daemon {
			unresponsiveDaemons++
		}
	}
	switch {
	case targets >= minTargets:
		return Unreachable
	case unresponsiveDaemons >= minDaemons && e.allUnresponsive(daemons, lastReply, now):
		return Unreachable
	case targets > 0:
		return Suspected
	}
	return Reachable
}

func (e *Evidence) allUnresponsive(daemons []model.Member, lastReply, now time.Time) bool {
	for i := range daemons {
		if !e.unresponsive(string(daemons[i].Instance), lastReply, now) {
			return false
		}
	}
	return true
}

func (e *Evidence) unresponsive(daemon string, lastReply, now time.Time) bool {
	for i := range e.calls {
		c := &e.calls[i]
		if c.Kind == Daemon && c.Target == daemon && c.counts(lastReply, now) {
			return true
		}
	}
	return false
}

// ProbeDelay returns the delay until the next probe of an unreachable zone, given the number of previous probes. There is
// no delay before the first one, so that a wrong verdict is corrected within a round trip. The delays before later ones
// are random, so that the daemons do not all probe at the same time when the zone is reachable again.
func ProbeDelay(previous int, rnd *rand.Rand) time.Duration {
	if previous == 0 {
		return 0
	}
	return probeInterval/2 + time.Duration(rnd.Int64N(int64(probeInterval)))
}
