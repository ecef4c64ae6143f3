package quota

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Outcome is the result of asking for a token.
type Outcome uint8

// The outcomes. A request that is not granted is not run.
const (
	// Unavailable means that no owner of the workspace responded.
	Unavailable Outcome = iota
	// Granted means that the request is within the quota.
	Granted
	// Refused means that the workspace has no token.
	Refused
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Refused:
		return "refused"
	default:
		return "unavailable"
	}
}

// Decision states whether a request may be served.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which a request that is not granted may be repeated.
	RetryAfter time.Duration
	// Asked is when the token was asked for, which is no later than its grant, and Zone the zone that granted it.
	Asked time.Time
	Zone  model.AvailabilityZone
}

const (
	// A Retry-After is extended by a random time of up to retrySpread times its length, or up to minRetrySpread if that is longer.
	retrySpread    = 0.25
	minRetrySpread = 10 * time.Millisecond
)

// RetryAfter returns the time after which a caller is to return if there is no token for the time empty. It is random, so that
// callers that were refused together do not return together, and never shorter than empty.
func RetryAfter(empty time.Duration, rnd *rand.Rand) time.Duration {
	spread := max(minRetrySpread, time.Duration(retrySpread*float64(empty)))
	return max(0, empty) + time.Duration(rnd.Float64()*float64(spread))
}
