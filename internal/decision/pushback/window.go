package pushback

import (
	"slices"
	"time"
)

// MaxHint is the longest retry hint that is followed. A longer one is cut, so that a server with a wrong hint is tried again.
const MaxHint = 5 * time.Minute

// Window is the time for which one server wants no requests from this daemon. The zero value is closed: the server takes
// requests. It is not safe for concurrent use.
type Window struct {
	until time.Time
}

// Observe records the retry hint of a reply that arrived at now; 0 or less is none. A later reply never shortens the window,
// since replies may arrive in another order than they were sent.
func (w *Window) Observe(hint time.Duration, now time.Time) {
	if hint <= 0 {
		return
	}
	if end := now.Add(min(hint, MaxHint)); end.After(w.until) {
		w.until = end
	}
}

// Remaining returns how much longer the server wants no requests, or 0.
func (w *Window) Remaining(now time.Time) time.Duration { return max(0, w.until.Sub(now)) }

// UntilAvailable returns how long it takes until enough shards take requests again for an answer, given the remaining windows
// of the shards that take none now and how many more shards the answer needs. It returns false if too few shards push back:
// the others are missing for another reason.
func UntilAvailable(remaining []time.Duration, needed int) (time.Duration, bool) {
	if needed <= 0 || needed > len(remaining) {
		return 0, false
	}
	slices.Sort(remaining)
	return remaining[needed-1], true
}
