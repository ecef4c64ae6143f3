package spread

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay between failed calls of the store. The longest delay leaves time for propagation within 16 s of
// the store's return.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// Backoff returns the delay after the given number of failures in a row: exponential with full jitter, so that daemons
// that failed together do not come back together.
func Backoff(failures int, rnd *rand.Rand) time.Duration {
	limit := maxBackoff
	// 200 ms doubled 5 times exceeds maxBackoff, and a larger shift could overflow.
	if failures < 6 {
		limit = min(maxBackoff, firstBackoff<<max(0, failures-1))
	}
	return time.Duration(rnd.Int64N(int64(limit)))
}

// Jittered returns a duration spread evenly over [d/2, 3d/2), so that periodic work of many daemons does not coincide.
func Jittered(d time.Duration, rnd *rand.Rand) time.Duration {
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}
