package gossip

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay after a failed call to the store. maxBackoff is short enough that a change is propagated within
// 16 s of the store's recovery.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// Backoff returns the delay after the given number of failures in a row: exponential with full jitter, so that daemons
// whose calls failed at the same time do not retry at the same time.
func Backoff(failures int, rnd *rand.Rand) time.Duration {
	limit := maxBackoff
	// 200 ms doubled 5 times exceeds maxBackoff, and a larger shift could overflow.
	if failures < 6 {
		limit = min(maxBackoff, firstBackoff<<max(0, failures-1))
	}
	return time.Duration(rnd.Int64N(int64(limit)))
}

// Jittered returns a uniformly random duration in [d/2, 3d/2), so that periodic work of many daemons does not coincide.
func Jittered(d time.Duration, rnd *rand.Rand) time.Duration {
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}
