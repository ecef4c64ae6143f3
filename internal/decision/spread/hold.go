package spread

import "time"

// LeavingMarkTTL is how long one sign that a server is leaving keeps new work from it. A drain answer has to last until the
// lagging list names the server, and a sign has to outlast the rounds that gossip needs to reach every daemon.
const LeavingMarkTTL = 30 * time.Second

// holdTolerance exceeds the time that a message can take, which a relative hold gains on each hop; without it daemons
// could prolong a mark for ever by telling each other of it.
const holdTolerance = 3 * time.Second

// ExtendLeavingMark returns the new end of a mark that lasts until the given time, after a sign heard from a peer at now.
func ExtendLeavingMark(until, now time.Time, hold time.Duration) time.Time {
	hold = min(hold, LeavingMarkTTL)
	if told := now.Add(hold); told.Sub(until) > holdTolerance {
		return told
	}
	return until
}
