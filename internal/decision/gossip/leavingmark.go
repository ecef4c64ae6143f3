package gossip

import "time"

// LeavingMarkTTL is how long one observation that a server is leaving keeps new work from that server. A mark set by a drain
// reply has to last until the platform's list of leaving servers, which lags, contains the server. It also has to outlast
// the gossip rounds that it takes to reach every daemon.
const LeavingMarkTTL = 30 * time.Second

// markTolerance exceeds the maximum transit time of a message. A remaining lifetime is sent as a duration, so each hop
// adds the transit time to the mark's end. Without the tolerance daemons could extend a mark indefinitely by sending it
// back and forth.
const markTolerance = 3 * time.Second

// ExtendLeavingMark returns the new end of a mark that ends at until, given the remaining lifetime that a peer reported
// at now. The lifetime counts as at most LeavingMarkTTL, and the mark is only extended by more than markTolerance.
func ExtendLeavingMark(until, now time.Time, remaining time.Duration) time.Time {
	remaining = min(remaining, LeavingMarkTTL)
	if reported := now.Add(remaining); reported.Sub(until) > markTolerance {
		return reported
	}
	return until
}
