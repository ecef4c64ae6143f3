package lease

import "time"

// SafetyMargin is subtracted from the TTL of every Window to cover the time between the check and the action.
const SafetyMargin = 250 * time.Millisecond

// Window is the time in which a holder may act. Start must have a monotonic clock reading taken before the request for the
// lease was sent, so that the window never ends after the lease.
type Window struct {
	Start time.Time
	TTL   time.Duration
}

// Valid reports whether an action may start at now. A holder whose process was paused gets a later now and does not act.
func (w Window) Valid(now time.Time) bool {
	return now.Sub(w.Start) < w.TTL-SafetyMargin
}
