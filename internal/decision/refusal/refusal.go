// Package refusal decides when a caller whose request was not run may come back. It answers the load of callers that were
// refused together: they return spread over a while, and early enough that their deadline leaves time to be served.
package refusal

import (
	"math/rand/v2"
	"time"
)

const (
	// shareOfLeft is the mean part of the caller's remaining time after which it comes back.
	shareOfLeft = 0.2
	// shortest and longest bound the mean: a shorter wait finds what was found before, a longer one serves nobody.
	shortest = 40 * time.Millisecond
	longest  = 1500 * time.Millisecond
	// spread is the part of the mean by which waits differ, to either side.
	spread = 0.5
)

// RetryAfter returns when a caller that has left of its time may come back.
func RetryAfter(left time.Duration, rnd *rand.Rand) time.Duration {
	mean := min(longest, max(shortest, time.Duration(float64(left)*shareOfLeft)))
	return time.Duration(float64(mean) * (1 - spread + 2*spread*rnd.Float64()))
}
