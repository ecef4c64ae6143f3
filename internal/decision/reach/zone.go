package reach

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// silenceBase and probeBase bound a call into a zone that is near or whose distance is not known. A daemon only queues a
	// batch, and a server answers a probe at once.
	silenceBase = 250 * time.Millisecond
	probeBase   = 300 * time.Millisecond
	// sendBase bounds the delivery of a batch, and firstSend that to a zone whose distance is not known.
	sendBase  = 500 * time.Millisecond
	firstSend = 1500 * time.Millisecond
	// roundTrips is the number of round trips that a call may take: two for its connection, one for itself, and one to spare.
	roundTrips = 4

	// targetsNeeded is the number of silent servers and daemons of a zone that make it unreachable.
	targetsNeeded = 3
	// daemonsNeeded is the same where all daemons of a zone are silent: small zones have no third one.
	daemonsNeeded = 2
	// minSilence separates a target that does not answer from one whose address refuses connections, which it does
	// within a round trip.
	minSilence = 200 * time.Millisecond
	// maxLate is how late a silence may be noticed. A later one shows that this daemon was paused.
	maxLate = 100 * time.Millisecond
	// ConfirmInterval is the least time between two rounds of probes by which a suspected zone is checked.
	ConfirmInterval = time.Second
	// ConfirmProbes is the number of servers in a round: with the target that raised the suspicion they are enough.
	ConfirmProbes = targetsNeeded - 1

	// evidenceLife is the age after which a silence no longer counts.
	evidenceLife = 3 * time.Second
	// probeInterval is the mean time between probes of an unreachable zone.
	probeInterval = 500 * time.Millisecond
)

// AckTimeout is the time after which a daemon that did not acknowledge a batch counts as silent. roundTrip is that to its zone,
// 0 if it is not known.
func AckTimeout(roundTrip time.Duration) time.Duration {
	return max(silenceBase, roundTrips*roundTrip)
}

// ProbeTimeout bounds one probe of a zone.
func ProbeTimeout(roundTrip time.Duration) time.Duration {
	return max(probeBase, roundTrips*roundTrip)
}

// SendTimeout bounds the delivery of a batch. A longer time means a daemon that is paused or cut off.
func SendTimeout(roundTrip time.Duration) time.Duration {
	if roundTrip == 0 {
		return firstSend
	}
	return max(sendBase, roundTrips*roundTrip)
}

// TargetKind tells servers and daemons apart.
type TargetKind uint8

// The kinds of targets.
const (
	Server TargetKind = iota
	Daemon
)

// UnansweredCall is one call to a target in the zone that was not answered by Due.
type UnansweredCall struct {
	Kind   TargetKind
	Target string
	Began  time.Time
	// Due is when the call should have been answered, and Noticed when it was found not to be.
	Due     time.Time
	Noticed time.Time
}

// counts tells whether the silence is evidence: anything heard from the zone while the call was pending disproves it.
func (s *UnansweredCall) counts(heard, now time.Time) bool {
	return s.Target != "" && s.Began.After(heard) && s.Noticed.Sub(s.Began) >= minSilence &&
		s.Noticed.Sub(s.Due) <= maxLate && now.Sub(s.Noticed) <= evidenceLife
}

// Evidence is the latest silence of each of a few targets of one zone. The zero value is empty. It is not safe for
// concurrent use.
type Evidence struct {
	silences [targetsNeeded]UnansweredCall
}

// Add records a silence. heard is when anything in the zone last answered.
func (e *Evidence) Add(s UnansweredCall, heard, now time.Time) {
	free := -1
	for i := range e.silences {
		old := &e.silences[i]
		if old.Kind == s.Kind && old.Target == s.Target {
			free = i
			break
		}
		if free < 0 && !old.counts(heard, now) {
			free = i
		}
	}
	if free >= 0 {
		e.silences[free] = s
	}
}

// Verdict is what the evidence says about a zone.
type Verdict uint8

// The verdicts.
const (
	// Reachable: no call that counts is unanswered.
	Reachable Verdict = iota
	// Suspected: some are, too few to tell a lost zone from a lost server or daemon.
	Suspected
	// Unreachable: three of the zone's servers and daemons are silent, or all of its daemons, if there are at least two.
	Unreachable
)

// Verdict returns the verdict at now. daemons are those that may own servers in the zone, and heard is when anything in
// the zone last answered.
func (e *Evidence) Verdict(daemons []model.Member, heard, now time.Time) Verdict {
	targets, silentDaemons := 0, 0
	for i := range e.silences {
		s := &e.silences[i]
		if !s.counts(heard, now) {
			continue
		}
		targets++
		if s.Kind == Daemon {
			silentDaemons++
		}
	}
	switch {
	case targets >= targetsNeeded:
		return Unreachable
	case silentDaemons >= daemonsNeeded && e.allSilent(daemons, heard, now):
		return Unreachable
	case targets > 0:
		return Suspected
	}
	return Reachable
}

func (e *Evidence) allSilent(daemons []model.Member, heard, now time.Time) bool {
	for i := range daemons {
		if !e.silent(string(daemons[i].Instance), heard, now) {
			return false
		}
	}
	return true
}

func (e *Evidence) silent(daemon string, heard, now time.Time) bool {
	for i := range e.silences {
		s := &e.silences[i]
		if s.Kind == Daemon && s.Target == daemon && s.counts(heard, now) {
			return true
		}
	}
	return false
}

// ProbeDelay returns the time until the next probe of an unreachable zone, given the number of those before. The first
// one follows at once, so that a wrong judgement is corrected within a round trip. Later ones are spread over the
// interval, so that daemons do not all probe at the moment when a zone is back.
func ProbeDelay(before int, rnd *rand.Rand) time.Duration {
	if before == 0 {
		return 0
	}
	return probeInterval/2 + time.Duration(rnd.Int64N(int64(probeInterval)))
}
