package gossip

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
)

// Acknowledgement states that no routing configuration newer than Version had been acknowledged by the store at At, in any era.
type Acknowledgement struct {
	// At is zero if nothing is known.
	At      boottime.Time
	Version model.RoutingVersion
}

// Age returns the age of the statement at now, or UnknownAge if nothing is known.
func (a Acknowledgement) Age(now boottime.Time) time.Duration {
	return ageOf(a.At, now)
}

// Verification is how old a daemon's data from the store can be at most. The zero value means that nothing is known.
//
// Two times are kept, since the content of a store that was restored from a copy lacks changes that the store had acknowledged.
// At bounds the age of the data as a copy of the store's content, and decides when the store or another daemon is asked again.
// Acknowledged bounds its age as a copy of what was acknowledged, and decides whether keys are served. It stands still from a restore
// until the operator has had time to repeat what was lost.
type Verification struct {
	// at is a time at which the store's content was certainly not newer than the daemon's.
	at boottime.Time
	// acknowledged is a time by which no routing configuration newer than the daemon's had been acknowledged.
	acknowledged boottime.Time
	// eraStated means that the store states an era, and eraKnownAt is a time at which it was in its present one already; zero if that is
	// not known.
	eraStated  bool
	eraKnownAt boottime.Time
	// pending means that a newer routing configuration is known than the one in force. inForce is the value that acknowledged had
	// before the newer one was known.
	pending bool
	inForce boottime.Time
}

// EnterEra records that the store is in a later era than was known, and was so at knownAt, which may be zero. It may have been restored
// at any time before, even if the daemon knows of no earlier era, as after its start.
func (v *Verification) EnterEra(knownAt boottime.Time) {
	v.eraStated, v.eraKnownAt = true, knownAt
}

// EraKnown records that the store was in its present era at knownAt already.
func (v *Verification) EraKnown(knownAt boottime.Time) {
	if v.eraKnownAt.IsZero() || knownAt < v.eraKnownAt {
		v.eraKnownAt = knownAt
		v.acknowledgeContent(v.at)
	}
}

// EraKnownAt returns a time at which the store was in its present era already, or zero.
func (v *Verification) EraKnownAt() boottime.Time { return v.eraKnownAt }

// SettledAt returns the time from which the store's content includes all that was acknowledged before its present era. It is zero if
// the store states no era.
func (v *Verification) SettledAt() boottime.Time {
	switch {
	case !v.eraStated:
		return 0
	case v.eraKnownAt.IsZero():
		return math.MaxInt64
	}
	return v.eraKnownAt.Add(directory.RestoreGrace)
}

// Advance records that an update was applied that was verified at the given time, which may be zero. newRouting means that it
// contained a routing configuration that is not in force yet.
func (v *Verification) Advance(at boottime.Time, newRouting bool) {
	if newRouting && !v.pending {
		v.pending, v.inForce = true, v.acknowledged
	}
	v.at = max(v.at, at)
	v.acknowledgeContent(at)
}

// Acknowledge records that no routing configuration newer than the daemon's had been acknowledged at the given time.
func (v *Verification) Acknowledge(at boottime.Time) {
	v.acknowledged = max(v.acknowledged, at)
}

// acknowledgeContent records that the store's content at the given time was not newer than the daemon's.
func (v *Verification) acknowledgeContent(at boottime.Time) {
	if at >= v.SettledAt() {
		v.Acknowledge(at)
	}
}

// Installed records that the latest known routing configuration is in force.
func (v *Verification) Installed() { v.pending = false }

// At returns a time at which the store's content was certainly not newer than the daemon's data.
func (v *Verification) At() boottime.Time { return v.at }

// Acknowledged returns a time by which no routing configuration newer than the daemon's had been acknowledged.
func (v *Verification) Acknowledged() boottime.Time { return v.acknowledged }

// InForce returns a time by which no routing configuration newer than the one in force, with which requests are served, had been
// acknowledged.
func (v *Verification) InForce() boottime.Time {
	if v.pending {
		return v.inForce
	}
	return v.acknowledged
}

// SettlingWait shortens the wait of a watch so that keys are served again soon after a restore of the store. acknowledgedAge is how long
// ago a newer configuration can have been acknowledged, and untilSettled the time until Verification.SettledAt, not above 0 once it has
// passed.
func (f Freshness) SettlingWait(wait, acknowledgedAge, untilSettled time.Duration) time.Duration {
	switch {
	case !f.NeedsVerification():
		return wait
	case untilSettled > 0:
		// The store counts whole milliseconds. A watch that ends before that time would prove nothing.
		return max(MinWatchWait, min(wait, untilSettled+time.Millisecond))
	}
	return f.VerifyingWait(wait, acknowledgedAge)
}
