package gossip

import "time"

// Fractions of the propagation limit. Even if a follower's data has reached its maximum age when its source fails, the
// read of the store that follows ends within the limit.
const (
	maxAgeFraction     = 0.66
	storeReplyFraction = 0.3
	// watchFraction plus the pause after a change is below maxAgeFraction, so that followers do not mistake a store without
	// changes for an unreachable one.
	watchFraction     = 0.46
	minPauseFraction  = 0.08
	maxPauseFraction  = 0.23
	peerReplyFraction = 0.03
	lateReplyFraction = 0.08
)

// MinWatchWait is how long a watch waits for a change if the daemon's data is old or its last call failed. It is short so that the
// recovery of the store is detected soon.
const MinWatchWait = 100 * time.Millisecond

// pausePerDaemon makes the pause after a change grow with the fleet, because all of its daemons may read the store at
// once when a daemon that others follow fails.
const pausePerDaemon = 30 * time.Millisecond

// Freshness holds the limits on the age of a daemon's data from the store, and the timeouts that comply with them. All of
// them are fractions of the time within which a change of the store has to be in force on every daemon.
type Freshness struct {
	propagationLimit time.Duration
	// revocationPeriod is 0 if there is no bound on the use of removed keys.
	revocationPeriod time.Duration
}

// NewFreshness returns the limits for changes that have to be in force within propagationLimit.
func NewFreshness(propagationLimit time.Duration) Freshness {
	return Freshness{propagationLimit: propagationLimit}
}

// MaxAge is the age of a follower's data at which it reads the store itself.
func (f Freshness) MaxAge() time.Duration { return f.fraction(maxAgeFraction) }

// StoreReplyTimeout bounds a call to the store, in addition to the wait time of a watch.
func (f Freshness) StoreReplyTimeout() time.Duration { return f.fraction(storeReplyFraction) }

// LateWatchReply is how long after its wait the reply of a watch may arrive. After that its connection counts as silent, and the
// store is called on a new one before it counts as lost.
func (f Freshness) LateWatchReply() time.Duration { return f.fraction(lateReplyFraction) }

// Old reports whether a follower's data of the given age has to be confirmed by the store, since a peer's reply would come too late.
func (f Freshness) Old(age time.Duration) bool { return age >= f.MaxAge()-f.PeerReplyMargin() }

// Aging reports whether data of the given age has passed the age that it reaches while one daemon reads the store without a failure.
func (f Freshness) Aging(age time.Duration) bool { return age > f.fraction(watchFraction) }

// WatchWait is how long a watch of the store waits for a change, if the daemon's data has the given age. The watch ends before the
// data reaches its maximum age, so that a connection that is silent is noticed in time; data that is older than that is confirmed
// soon. The wait is shorter in a daemon that others may follow than in one without peers.
func (f Freshness) WatchWait(followed bool, age time.Duration) time.Duration {
	limit := f.MaxAge()
	if followed {
		limit = f.fraction(watchFraction)
	}
	return max(MinWatchWait, min(limit, f.MaxAge()-age))
}

// PeerReplyMargin is the part of MaxAge that is reserved for the network delay of a peer's reply.
func (f Freshness) PeerReplyMargin() time.Duration { return f.fraction(peerReplyFraction) }

// ChangePause is the time between a change and the next watch, so that one call returns several changes that follow each other
// closely. It is short in a daemon that others may follow. In a follower that reads the store only because its source
// failed, it grows with the number of daemons in the fleet.
func (f Freshness) ChangePause(daemons int, following bool) time.Duration {
	minPause := f.fraction(minPauseFraction)
	if !following {
		return minPause
	}
	return min(f.fraction(maxPauseFraction), max(minPause, time.Duration(daemons)*pausePerDaemon))
}

func (f Freshness) fraction(p float64) time.Duration {
	return time.Duration(p * float64(f.propagationLimit))
}
