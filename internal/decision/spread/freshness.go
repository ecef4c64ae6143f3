package spread

import "time"

// Parts of the time in which a change has to be in force. What a follower knows may be at its greatest age when its source
// fails; the read of the store that follows then still ends in time.
const (
	maxAgePart = 0.66
	replyPart  = 0.3
	// watchPart and a change's pause together lie below maxAgePart, so that followers do not take a quiet store for a lost one.
	watchPart         = 0.46
	shortestPausePart = 0.08
	longestPausePart  = 0.23
	answerPart        = 0.03
)

// pausePerDaemon lets the pause after a change grow with the fleet, all of which may read the store while a daemon fails that
// others follow.
const pausePerDaemon = 30 * time.Millisecond

// Freshness says how old what a daemon knows of the store may become. All its times follow from the time in which a change of
// the store has to be in force everywhere.
type Freshness struct {
	inForce time.Duration
}

// NewFreshness returns the times for changes that have to be in force within inForce.
func NewFreshness(inForce time.Duration) Freshness { return Freshness{inForce: inForce} }

// MaxAge is the age of what a daemon knows at which it reads the store itself.
func (f Freshness) MaxAge() time.Duration { return f.part(maxAgePart) }

// StoreReplyTimeout is the time that the store may take to answer a call, beyond the wait of a watch.
func (f Freshness) StoreReplyTimeout() time.Duration { return f.part(replyPart) }

// WatchWait is how long a watch of the store waits for a change, in a daemon that others follow or that is alone.
func (f Freshness) WatchWait(followed bool) time.Duration {
	if followed {
		return f.part(watchPart)
	}
	return f.MaxAge()
}

// PeerReplyMargin is the part of MaxAge that is left for the way back of another daemon's answer.
func (f Freshness) PeerReplyMargin() time.Duration { return f.part(answerPart) }

// ChangePause is the time between a change and the next watch in a fleet of the given number of daemons, so that changes that
// come together cost one call. It is short in a daemon that others follow, and grows in one that reads the store for lack of
// such.
func (f Freshness) ChangePause(daemons int, following bool) time.Duration {
	shortest := f.part(shortestPausePart)
	if !following {
		return shortest
	}
	return min(f.part(longestPausePart), max(shortest, time.Duration(daemons)*pausePerDaemon))
}

func (f Freshness) part(p float64) time.Duration { return time.Duration(p * float64(f.inForce)) }
