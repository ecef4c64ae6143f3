package routing

import (
	"slices"
	"time"
)

// RampUp is the time over which the load of a server that joined rises to its full share.
const RampUp = 3 * time.Second

// RampUpFraction returns the fraction of its normal load, in (0, 1], that a server gets at now if it joined at joined.
func RampUpFraction(joined, now time.Time) float64 {
	age := now.Sub(joined)
	if age >= RampUp {
		return 1
	}
	return max(minRampUpFraction, float64(age)/float64(RampUp))
}

// AvoidColdServers makes servers in their ramp-up unusable if a warm replica is usable and below its limit. It is meant for
// urgent work: each daemon measures the latency of a new server by attempts of its own, which should be those of ranks
// that can wait.
func AvoidColdServers(cs []Candidate) {
	if !slices.ContainsFunc(cs, warmWithCapacity) {
		return
	}
	for i := range cs {
		if cs[i].RampUpFraction < 1 {
			cs[i].Usable = false
		}
	}
}

// warmWithCapacity reports whether the server is usable, is not in its ramp-up and has no more attempts pending than may
// be in flight.
func warmWithCapacity(c Candidate) bool {
	return c.Usable && c.RampUpFraction >= 1 && c.Pending <= c.Limit
}

// PreferWarm makes cold servers with a limit unusable if a server without one is usable. What a cold server tolerates is left to
// requests that no other replica can serve, also if the other replicas are busy.
func PreferWarm(cs []Candidate) {
	if !slices.ContainsFunc(cs, func(c Candidate) bool { return c.Usable && !c.ColdLimited }) {
		return
	}
	for i := range cs {
		if cs[i].ColdLimited {
			cs[i].Usable, cs[i].Probe = false, false
		}
	}
}
