package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandersill.example/oleandersill/internal/model"
)

// CrossRegionRTT is the additional round-trip time to a server in another region, and CrossZoneRTT that to a server in
// another zone of the same region.
const (
	CrossRegionRTT = 20 * time.Millisecond
	CrossZoneRTT   = 2 * time.Millisecond
)

// Locality is the location of a server relative to the daemon.
type Locality uint8

// Localities, nearest first.
const (
	SameZone Locality = iota
	SameRegion
	OtherRegion
)

// LocalityOf returns the locality of a server as seen from the given zone and region.
func LocalityOf(s *model.Server, zone model.AvailabilityZone, region model.Region) Locality {
	switch {
	case s.Zone == zone:
		return SameZone
	case s.Region == region:
		return SameRegion
	}
	return OtherRegion
}

// Candidate is a replica with the local observations about it.
type Candidate struct {
	Server   *model.Server
	Locality Locality
	// Usable is whether the server may get an attempt that is not a probe. It is false, for example, for servers that are
	// leaving, ejected or already tried.
	Usable bool
	// Probe marks an ejected server for which a probe is due.
	Probe bool
	// Leaving is whether the server leaves, and Pushback how much longer it wants no attempts; 0 if it did not say so.
	Leaving  bool
	Pushback time.Duration
	// Pending is the number of attempts in flight and waiting.
	Pending int
	// Limit is the number of attempts that may be in flight.
	Limit int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Latency is the observed mean latency, including the network, or 0 if none was observed.
	Latency time.Duration
	// FailureRate is the observed fraction of attempts that fail, in [0, 1].
	FailureRate float64
	// RampUpFraction is the fraction of its normal load that the server gets, in (0, 1]. It is below 1 for a cold server.
	RampUpFraction float64
	// ColdLimited servers are cold and tolerate few requests per second.
	ColdLimited bool
}

// failureWeight is the weight of the failure rate relative to the time of an attempt.
const failureWeight = 4

// Cost returns the expected time of an attempt at the candidate: its latency, multiplied by factors for the attempts that
// this daemon has pending there per slot of the server, for the failure rate and for the ramp-up. The failure factor
// follows the allocation cost of W. Tang et al., "Fault-Aware, Utility-Based Job Scheduling on Blue Gene/P Systems"
// (2009), which adds the weighted probability of failure of a partition.
func (c *Candidate) Cost() time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = unobservedLatency(c.Locality)
	}
	queue := 1 + float64(c.Pending)/float64(max(1, c.Slots))
	failure := 1 + failureWeight*c.FailureRate
	return time.Duration(float64(latency) * queue * failure / max(c.RampUpFraction, minRampUpFraction))
}

// minRampUpFraction is the fraction of its normal load that a server gets at the start of its ramp-up.
const minRampUpFraction = 0.05

// unobservedServiceTime is the latency of a server without the network that is assumed before any was observed.
const unobservedServiceTime = 5 * time.Millisecond

func unobservedLatency(l Locality) time.Duration { return unobservedServiceTime + l.extraRTT() }

// extraRTT returns the round-trip time that the locality adds to that within a zone.
func (l Locality) extraRTT() time.Duration {
	switch l {
	case SameRegion:
		return CrossZoneRTT
	case OtherRegion:
		return CrossRegionRTT
	case SameZone:
	}
	return 0
}

// ChooseRandom returns the index of a random usable candidate, regardless of its cost, or false if none is usable.
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

// DecayFailureRate returns an observed failure rate after exponential decay over the age of its last sample.
func DecayFailureRate(rate float64, age time.Duration) float64 {
	if rate == 0 {
		return 0
	}
	return rate * decayFactor(age, staleHalfLife)
}

// decayFactor returns the weight in (0, 1] of an observation of the given age.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// ExcludeTried makes the servers that were already tried neither usable nor due for a probe.
func ExcludeTried(cs []Candidate, tried []model.ServerName) {
	for i := range cs {
		if slices.Contains(tried, cs[i].Server.Name) {
			cs[i].Usable, cs[i].Probe = false, false
		}
	}
}

// comparableCostRatio is the ratio of two costs up to which the candidates count as equally good. Estimates vary by about
// this ratio from one sample to the next, while servers in different regions differ by more.
const comparableCostRatio = 1.25

// Choose returns the index of the candidate for the next attempt, or false if no candidate is usable and no probe is due.
// A candidate with a probe due comes first, so that an ejected server is tried once while its attempt can still be hedged
// or retried elsewhere. Otherwise Choose draws two of the candidates whose cost is within comparableCostRatio of the
// lowest and returns the cheaper one. The random draw keeps daemons with the same observations from all choosing one
// server.
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
	first, second := drawTwo(cs, time.Duration(float64(lowest)*comparableCostRatio), rnd)
	if second < 0 {
		return first, true
	}
	return cheaper(cs, first, second, rnd), true
}

// lowestCost returns the lowest cost of a usable candidate, or false if none is usable.
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

// drawTwo returns the indices of two random usable candidates whose cost is at most maxCost. second is -1 if there is only
// one.
func drawTwo(cs []Candidate, maxCost time.Duration, rnd *rand.Rand) (first, second int) {
	first, second = -1, -1
	drawn := 0
	for i := range cs {
		if !cs[i].Usable || cs[i].Cost() > maxCost {
			continue
		}
		drawn++
		// Reservoir sampling of two keeps the draw uniform without allocating a second slice.
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

// assumeLatency gives replicas without observations the longest latency observed for another replica, less the extra
// round-trip time of that replica and plus their own. A new server may be cold, and a low estimate would make all daemons
// send their work to it at once.
func assumeLatency(cs []Candidate) {
	longest := time.Duration(0)
	for i := range cs {
		longest = max(longest, cs[i].Latency-cs[i].Locality.extraRTT())
	}
	for i := range cs {
		if longest > 0 && cs[i].Latency == 0 {
			cs[i].Latency = longest + cs[i].Locality.extraRTT()
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

// Restrict leaves at most n candidates: the nearest ones, among equally near ones those that rank highest for the key. Daemons in
// one zone that handle the same request leave the same candidates, unless they differ in which servers leave. It leaves them
// also if none of them is usable, since the other daemon may find one of them usable.
func Restrict(cs []Candidate, key string, n int) {
	if len(cs) <= n {
		return
	}
	kept := make([]int, 0, len(cs))
	for i := range cs {
		if !cs[i].Leaving {
			kept = append(kept, i)
		}
	}
	slices.SortFunc(kept, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(cs[a].Locality, cs[b].Locality),
			cmp.Compare(xxhash.Sum64String(key+string(cs[b].Server.Name)), xxhash.Sum64String(key+string(cs[a].Server.Name))),
		)
	})
	kept = kept[:min(n, len(kept))]
	for i := range cs {
		if !slices.Contains(kept, i) {
			cs[i].Usable, cs[i].Probe = false, false
		}
	}
}
