// Package retrydelay decides when a caller may retry a request that was refused and not run. The delays are random, so that
// callers that were refused at the same time do not retry at the same time, and short enough to leave time for the request
// before its deadline.
package retrydelay

import (
	"math/rand/v2"
	"time"
)

const (
	// meanFraction is the mean delay as a fraction of the time until the caller's deadline.
	meanFraction = 0.2
	// minMean and maxMean bound the mean delay. After a shorter one the load is unlikely to have changed, and a longer one
	// benefits no caller.
	minMean = 40 * time.Millisecond
	maxMean = 1500 * time.Millisecond
	// jitter is the maximum deviation of a delay from the mean, as a fraction of the mean.
	jitter = 0.5
)

// RetryAfter returns the delay after which a caller with the given time until its deadline may retry.
func RetryAfter(remaining time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration(float64(mean(remaining)) * (1 - jitter + 2*jitter*rnd.Float64()))
}

// AfterPushback is like RetryAfter for a request that no server takes before rest has passed; 0 means that it was refused for
// another reason. The delay is never shorter than rest, since an earlier retry would be refused as well.
func AfterPushback(rest, remaining time.Duration, rnd *rand.Rand) time.Duration {
	if rest <= 0 {
		return RetryAfter(remaining, rnd)
	}
	return rest + time.Duration(float64(mean(remaining))*rnd.Float64())
}

func mean(remaining time.Duration) time.Duration {
	return min(maxMean, max(minMean, time.Duration(float64(remaining)*meanFraction)))
}
