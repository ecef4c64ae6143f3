package routing

import (
	"slices"
	"time"
)

// RampUp is the time over which a server that joined gets its full share of work.
const RampUp = 3 * time.Second

// RampUpFraction returns the fraction of its normal load that a server takes when it joined at joined, in (0, 1].
func RampUpFraction(joined, now time.Time) float64 {
	age := now.Sub(joined)
	if age >= RampUp {
		return 1
	}
	return max(minAdmission, float64(age)/float64(RampUp))
}

// AvoidColdServers makes servers that ramp up unusable while a warm replica is usable and has room. It is for urgent work:
// each daemon learns how slow a new server is from attempts of its own, and these go to ranks that can wait.
func AvoidColdServers(cs []Candidate) {
	if !slices.ContainsFunc(cs, warmWithRoom) {
		return
	}
	for i := range cs {
		if cs[i].RampUpFraction < 1 {
			cs[i].Usable = false
		}
	}
}

// warmWithRoom tells whether at most as many attempts as may be in flight are pending at a usable server that does not
// ramp up.
func warmWithRoom(c Candidate) bool {
	return c.Usable && c.RampUpFraction >= 1 && c.Pending <= c.Limit
}
