package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// CrossRegionRTT is the added round trip to a server in another region, and CrossZoneRTT to one in another zone of the region.
const (
	CrossRegionRTT = 20 * time.Millisecond
	CrossZoneRTT   = 2 * time.Millisecond
)

// Locality locates a server relative to the daemon.
type Locality uint8

// The places, nearest first.
const (
	SameZone Locality = iota
	SameRegion
	OtherRegion
)

// LocalityOf locates a server relative to a daemon's zone and region.
func LocalityOf(s *model.Server, zone model.AvailabilityZone, region model.Region) Locality {
	switch {
	case s.Zone == zone:
		return SameZone
	case s.Region == region:
		return SameRegion
	}
	return OtherRegion
}

// Candidate is what is known about one replica.
type Candidate struct {
	Server   *model.Server
	Locality Locality
	// Usable is false for leaving and ejected servers and for those already tried.
	Usable bool
	// Probe marks an ejected server that is due one trial attempt.
	Probe bool
	// Pending counts attempts in flight and waiting.
	Pending int
	Limit   int
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// Latency is the observed mean, network included; 0 if none was observed.
	Latency time.Duration
	// FailureRate is the observed probability that an attempt fails, in [0, 1].
	FailureRate float64
	// RampUpFraction is the fraction of its normal load that a cold server takes, in (0, 1].
	RampUpFraction float64
}

// failureWeight weighs the probability of failure against the time that an attempt takes.
const failureWeight = 4

// Cost returns the expected time of an attempt at the candidate: its latency, lengthened by the attempts that this
// daemon has pending there for each of the server's slots and by the probability that it fails. The last term follows
// the allocation cost of W. Tang et al., "Fault-Aware, Utility-Based Job Scheduling on Blue Gene/P Systems" (2009),
// which adds the weighted probability of failure of a partition.
func (c *Candidate) Cost() time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = unobservedLatency(c.Locality)
	}
	queue := 1 + float64(c.Pending)/float64(max(1, c.Slots))
	failure := 1 + failureWeight*c.FailureRate
	return time.Duration(float64(latency) * queue * failure / max(c.RampUpFraction, minAdmission))
}

const minAdmission = 0.05

// unobservedService is the time at a server, without the way there, that is assumed before anything was observed.
const unobservedService = 5 * time.Millisecond

func unobservedLatency(p Locality) time.Duration { return unobservedService + p.hop() }

// hop is the round trip that a place adds.
func (p Locality) hop() time.Duration {
	switch p {
	case SameRegion:
		return CrossZoneRTT
	case OtherRegion:
		return CrossRegionRTT
	case SameZone:
	}
	return 0
}

// ChooseRandom returns the index of a candidate drawn at random, whatever is known about it, or false if none is usable.
func ChooseRandom(cs []Candidate, rnd *rand.Rand) (int, bool) {
	chosen, usable := -1, 0
	for i := range cs {
		if !cs[i].Usable {
			continue
		}
		usable++
		if rnd.IntN(usable) == 0 {
			chosen = i
		}
	}
	return chosen, chosen >= 0
}

// DecayFailureRate returns an observed failure rate as it counts after age without a new sample.
func DecayFailureRate(rate float64, age time.Duration) float64 {
	if rate == 0 {
		return 0
	}
	return rate * fade(age, staleHalfLife)
}

// fade returns the part of an observation that counts after age without a new one.
func fade(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// ExcludeTried makes the servers that were tried neither usable nor due a probe.
func ExcludeTried(cs []Candidate, tried []model.ServerName) {
	for i := range cs {
		if slices.Contains(tried, cs[i].Server.Name) {
			cs[i].Usable, cs[i].Probe = false, false
		}
	}
}

// comparableCost is the ratio of two expected times up to which the candidates count as equally good. Estimates differ by
// about that from one sample to the next, and servers of different regions by more.
const comparableCost = 1.25

// Choose returns the index of the candidate that should get the next attempt, or false if none is usable. A candidate
// due a probe is taken first, so that an ejected server is tried once and its attempt can be hedged or retried elsewhere.
// Of the candidates that are about as good as the best one, two are drawn and the better one is taken, so that daemons with
// the same knowledge do not all turn to one server.
func Choose(cs []Candidate, rnd *rand.Rand) (int, bool) {
	assumeLatency(cs)
	lowest, ok := lowestCost(cs)
	for i := range cs {
		if cs[i].Probe {
			return i, true
		}
	}
	if !ok {
		return 0, false
	}
	first, second := drawTwo(cs, time.Duration(float64(lowest)*comparableCost), rnd)
	if second < 0 {
		return first, true
	}
	return cheaper(cs, first, second, rnd), true
}

// lowestCost returns the cost of the best usable candidate, or false if none is usable.
func lowestCost(cs []Candidate) (lowest time.Duration, ok bool) {
	for i := range cs {
		if !cs[i].Usable {
			continue
		}
		if cost := cs[i].Cost(); !ok || cost < lowest {
			lowest, ok = cost, true
		}
	}
	return lowest, ok
}

// drawTwo draws two of the usable candidates that cost at most the given time; second is -1 if there is only one.
func drawTwo(cs []Candidate, most time.Duration, rnd *rand.Rand) (first, second int) {
	first, second = -1, -1
	drawn := 0
	for i := range cs {
		if !cs[i].Usable || cs[i].Cost() > most {
			continue
		}
		drawn++
		// Reservoir sampling of two keeps the draw uniform without a second slice.
		switch {
		case first < 0:
			first = i
		case second < 0:
			second = i
		default:
			if j := rnd.IntN(drawn); j == 0 {
				first = i
			} else if j == 1 {
				second = i
			}
		}
	}
	return first, second
}

// assumeLatency gives replicas without observations the longest latency that was observed for another one, without the way
// there and with the way to themselves. A new server may be cold, and a low guess would send it the work of all daemons at
// once.
func assumeLatency(cs []Candidate) {
	longest := time.Duration(0)
	for i := range cs {
		longest = max(longest, cs[i].Latency-cs[i].Locality.hop())
	}
	for i := range cs {
		if longest > 0 && cs[i].Latency == 0 {
			cs[i].Latency = longest + cs[i].Locality.hop()
		}
	}
}

func cheaper(cs []Candidate, a, b int, rnd *rand.Rand) int {
	ca, cb := cs[a].Cost(), cs[b].Cost()
	switch {
	case ca < cb:
		return a
	case cb < ca:
		return b
	case rnd.IntN(2) == 0:
		return a
	}
	return b
}
