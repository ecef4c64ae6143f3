package gather

import (
	"math"
	"time"
)

const (
	// marginFraction is the fraction of the latency target that is reserved for unknown delays between caller and daemon, and
	// minMargin the minimum of the reserved time.
	marginFraction = 0.04
	minMargin      = 4 * time.Millisecond
	// assumedRoundTrip is used for a caller whose round-trip time is not known.
	assumedRoundTrip = 4 * time.Millisecond
	// maxLagFraction bounds the fraction of the latency target that is reserved for the daemon's own answer lag.
	maxLagFraction = 0.25
	// minDueFraction is the fraction of the latency target before which no answer is due. If a caller is too far away to meet the
	// target, answering even earlier would only make the answer lack more shards.
	minDueFraction = 0.5

	// minHedgeFraction and maxHedgeFraction bound the hedge delay, as fractions of the time until the answer is due. An earlier
	// hedge loads servers for little benefit; a later one leaves the second server too little time.
	minHedgeFraction = 0.17
	maxHedgeFraction = 0.5
	// secondAttemptFactor is how many times its expected time a hedge is given.
	secondAttemptFactor = 1.5
	// mergeWaitFraction is the fraction of the time until the answer is due for which a shard's reply may wait to be merged with
	// other replies, and maxMergeWait bounds that time. Each reply that is merged into another saves most of its bytes.
	mergeWaitFraction = 0.06
	maxMergeWait      = 6 * time.Millisecond
	// checkFraction, patienceFraction and overdueFraction are the DelegationTimes as fractions of the time until the answer is due.
	checkFraction    = 0.2
	patienceFraction = 0.2
	overdueFraction  = 1.25
	// coverageTolerance absorbs floating-point rounding of a required coverage that is an exact fraction of the shards.
	coverageTolerance = 1e-9
)

// State is the state of a scattered request.
type State struct {
	// Shards counts all shards of the request, and Answered those that replied.
	Shards   int
	Answered int
	// Open counts the shards that have not replied but have an attempt in progress.
	Open int
	// MinCoverage is the fraction of the shards that an answer must cover, in [0, 1].
	MinCoverage float64
	// Due is when an answer with sufficient coverage is given although shards are open.
	Due time.Time
}

// CallerPath is what is known about the network path between a caller and this daemon.
type CallerPath struct {
	// RoundTrip is the network round-trip time; 0 if it is not known.
	RoundTrip time.Duration
	// NewConnection is set if the caller opened the connection for this request, which took one round trip before the request
	// was sent.
	NewConnection bool
}

// networkTime returns how long the network delays the caller: for the connection setup, the request and the answer.
func (p CallerPath) networkTime() time.Duration {
	roundTrip := p.RoundTrip
	if roundTrip == 0 {
		roundTrip = assumedRoundTrip
	}
	if p.NewConnection {
		return 2 * roundTrip
	}
	return roundTrip
}

// Verdict is what to do about a scattered request.
type Verdict uint8

// The verdicts.
const (
	// Wait: wait for further replies.
	Wait Verdict = iota
	// Answer: answer with the replies received so far.
	Answer
	// Fail: the required coverage can no longer be reached.
	Fail
)

// Decide returns the verdict at now. Answering well within the latency target has no benefit, so it waits for all open shards
// until the answer is due. From then on the required coverage is enough.
func Decide(s State, now time.Time) Verdict {
	required := RequiredShards(s.Shards, s.MinCoverage)
	switch {
	case s.Answered == s.Shards:
		return Answer
	case s.Answered+s.Open < required:
		return Fail
	case s.Answered >= required && (s.Open == 0 || !now.Before(s.Due)):
		return Answer
	}
	return Wait
}

// RequiredShards returns the minimum number of shards that must reply to reach minCoverage; at least 1.
func RequiredShards(shards int, minCoverage float64) int {
	return max(1, int(math.Ceil(minCoverage*float64(shards)-coverageTolerance)))
}

// Due returns when the answer to a request that arrived at arrived must be given to meet the latency target. The target
// covers the time from the start of the caller's request until the caller has the answer. The result includes a margin, since
// an answer that misses the target by little counts as late. lag is the time that this daemon takes to write an answer.
func Due(arrived time.Time, target time.Duration, path CallerPath, lag time.Duration) time.Time {
	margin := max(minMargin, fractionOf(target, marginFraction)) + min(lag, fractionOf(target, maxLagFraction))
	return arrived.Add(max(fractionOf(target, minDueFraction), target-path.networkTime()-margin))
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// HedgeDelay returns the time after which a hedge is sent to a shard that has not replied. observed is a high quantile of the
// shard's latency, 0 if none was observed, second the expected time of an attempt at another replica, 0 if there is none, and due
// the time from the request's arrival until its answer is due. An answer before it is due has no benefit, so the hedge is sent as
// late as the second attempt allows: by then most of the servers that are only somewhat slow have replied.
func HedgeDelay(observed, second, due time.Duration) time.Duration {
	latest := fractionOf(due, maxHedgeFraction)
	if observed == 0 || second == 0 {
		return latest
	}
	return min(latest, max(fractionOf(due, minHedgeFraction), observed, due-fractionOf(second, secondAttemptFactor)))
}

// MergeWait returns how long the reply of one shard may wait to be merged with replies of other shards. due is the time from
// the request's arrival until its answer is due.
func MergeWait(due time.Duration) time.Duration {
	return min(maxMergeWait, fractionOf(due, mergeWaitFraction))
}

// ExtendDue returns when an answer is due that is gathered only from now on, since another daemon did not deliver it. due is when
// it was due at first, target after its request arrived. An answer that is late already is not given with fewer shards for it.
func ExtendDue(due time.Time, target time.Duration, now time.Time) time.Time {
	if least := now.Add(fractionOf(target, minDueFraction)); least.After(due) {
		return least
	}
	return due
}

// DelegationTimes say when a daemon that gathers an answer for this one is taken to be lost.
type DelegationTimes struct {
	// Check is the time, after it was asked, at which the other daemon is checked.
	Check time.Duration
	// Patience is how long the other daemon may take to respond. After that this daemon gathers the answer itself, for which the
	// rest of the time must be enough.
	Patience time.Duration
	// Overdue is the time, after it was asked, at which the other daemon has to say whether it still works on the answer, and the
	// interval at which it has to say so again.
	Overdue time.Duration
}

// TimeDelegation returns the times for an answer that is due after the given time.
func TimeDelegation(due time.Duration) DelegationTimes {
	return DelegationTimes{
		Check: fractionOf(due, checkFraction), Patience: fractionOf(due, patienceFraction), Overdue: fractionOf(due, overdueFraction),
	}
}

// PostponeHedge returns a later time for a hedge that is due now, or the zero time if it is to be sent now. While many shards
// are open, the cause is not single slow servers but this daemon, its network or its processor, and hedges would add to that
// load. They are postponed to the latest time at which they are useful.
func PostponeHedge(shards, open int, arrived time.Time, due time.Duration, now time.Time) time.Time {
	latest := arrived.Add(fractionOf(due, maxHedgeFraction))
	if open <= max(stragglerShards, shards/stragglerDivisor) || !now.Before(latest) {
		return time.Time{}
	}
	return latest
}

const (
	// Up to stragglerShards open shards, or the number of shards divided by stragglerDivisor if that is more, single slow
	// servers are taken to be the cause.
	stragglerShards  = 4
	stragglerDivisor = 3
)
