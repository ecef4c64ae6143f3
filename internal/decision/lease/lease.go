package lease

import "time"

// SafetyMargin is subtracted from every window, to cover the time between the check and the effect.
const SafetyMargin = 250 * time.Millisecond

// Window is the time in which a holder may act. Granted must carry the monotonic clock reading from before the request
// that granted the lease was sent, so that the window never outlasts the lease.
type Window struct {
	Start time.Time
	TTL   time.Duration
}

// Valid tells whether an effect may start at now. A holder that was paused sees a later now and does not act.
func (w Window) Valid(now time.Time) bool {
	return now.Sub(w.Start) < w.TTL-SafetyMargin
}
