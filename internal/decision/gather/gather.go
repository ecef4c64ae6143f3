package gather

import (
	"math"
	"time"
)

const (
	// targetMargin is the part of the latency target that is left for what is not known of the way between caller and daemon,
	// and minMargin the least time left for it.
	targetMargin = 0.04
	minMargin    = 4 * time.Millisecond
	// assumedRoundTrip stands for the way to a caller that is not known.
	assumedRoundTrip = 4 * time.Millisecond
	// maxLag bounds the part of the latency target that is left for the daemon's own lag.
	maxLag = 0.25
	// earliestDue is the part of the latency target before which no answer is due: a caller that is too far to meet the target
	// is not served better by an answer that lacks more shards.
	earliestDue = 0.5

	// earliestHedge and latestHedge bound the time before a shard is asked a second time, as parts of the time until the
	// answer is due. An earlier one costs servers work for little; a later one leaves the second server too little time.
	earliestHedge = 0.17
	latestHedge   = 0.45
	// mergePart is the part of the time until the answer is due for which a shard's reply may wait for others to be merged with,
	// and maxMergeWait the longest such time: each reply that comes along saves most of its bytes.
	mergePart    = 0.06
	maxMergeWait = 6 * time.Millisecond
	// coverageTolerance absorbs the rounding of a required coverage that is a fraction of the shards.
	coverageTolerance = 1e-9
)

// State is what is known about an answer while it is gathered.
type State struct {
	Shards   int
	Answered int
	// Open counts the shards without a reply that an attempt under way may still bring.
	Open int
	// MinCoverage is the share of the shards that an answer needs, in [0, 1].
	MinCoverage float64
	// Due is when an answer that covers enough is given although shards are open.
	Due time.Time
}

// CallerPath is what is known of the way between a caller and this daemon.
type CallerPath struct {
	// RoundTrip is the network's round trip time; 0 if it is not known.
	RoundTrip time.Duration
	// NewConnection tells that the caller opened the connection for this request, which took a round trip before it was sent.
	NewConnection bool
}

// travel is the part of the caller's time that the network takes: the connection, the request and the answer.
func (p CallerPath) travel() time.Duration {
	roundTrip := p.RoundTrip
	if roundTrip == 0 {
		roundTrip = assumedRoundTrip
	}
	if p.NewConnection {
		return 2 * roundTrip
	}
	return roundTrip
}

// Verdict says what becomes of an answer.
type Verdict uint8

// The verdicts.
const (
	// Wait: a reply that is still to come is worth waiting for.
	Wait Verdict = iota
	// Answer: what is in hand is the answer.
	Answer
	// Fail: no reply that may still come makes the answer cover enough.
	Fail
)

// Decide returns the verdict at now. Within the latency target an answer does not gain by being early, so that every open
// shard is waited for until the answer is due; after it, the least coverage is enough.
func Decide(s State, now time.Time) Verdict {
	needed := RequiredShards(s.Shards, s.MinCoverage)
	switch {
	case s.Answered == s.Shards:
		return Answer
	case s.Answered+s.Open < needed:
		return Fail
	case s.Answered >= needed && (s.Open == 0 || !now.Before(s.Due)):
		return Answer
	}
	return Wait
}

// RequiredShards returns the least number of shards whose replies make up the coverage; at least 1.
func RequiredShards(shards int, minCoverage float64) int {
	return max(1, int(math.Ceil(minCoverage*float64(shards)-coverageTolerance)))
}

// Due returns when an answer to a request that arrived at arrived is due to meet the target, which counts from when the
// caller began until it has the answer. An answer that misses the target by little is worth as little as a late one. lag is
// the time that this daemon takes to write an answer.
func Due(arrived time.Time, target time.Duration, path CallerPath, lag time.Duration) time.Time {
	margin := max(minMargin, part(target, targetMargin)) + min(lag, part(target, maxLag))
	return arrived.Add(max(part(target, earliestDue), target-path.travel()-margin))
}

func part(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// HedgeDelay returns the time after which a shard that has not answered is asked a second time. observed is a high quantile
// of the shard's latency, 0 if none was observed, and due the time from the request's arrival until its answer is due.
func HedgeDelay(observed, due time.Duration) time.Duration {
	latest := part(due, latestHedge)
	if observed == 0 {
		return latest
	}
	return min(latest, max(part(due, earliestHedge), observed))
}

// MergeWait returns how long the reply of one shard may wait for those of others, where replies are merged on their way to an
// answer that is due after the given time.
func MergeWait(due time.Duration) time.Duration { return min(maxMergeWait, part(due, mergePart)) }

// PostponeHedge returns a later time for second attempts that are due now, or zero if they are to be sent. While many shards are
// open it is not single servers that are late but this daemon, its network or its processor, which second attempts load
// further; they wait for the latest time at which they are of use.
func PostponeHedge(shards, open int, arrived time.Time, due time.Duration, now time.Time) time.Time {
	latest := arrived.Add(part(due, latestHedge))
	if open <= max(fewOpen, shards/openDivisor) || !now.Before(latest) {
		return time.Time{}
	}
	return latest
}

const (
	// fewOpen and openDivisor, of the shards, are the number of open shards up to which single servers are late.
	fewOpen     = 4
	openDivisor = 3
)
