package gossip

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/boottime"
)

const (
	// verificationMargin is the part of the revocation period that covers clocks of different speed.
	verificationMargin = 0.05
	// maxVerifiedFraction leaves time for a call to the store, during which other daemons are asked as well, before requests with
	// keys are refused.
	maxVerifiedFraction = 0.76
)

// UnknownAge is the verified age of data of which it is not known what the store held.
const UnknownAge = time.Duration(math.MaxInt64 / 2)

// WithRevocation returns limits under which a key that was removed from the store is not accepted after the given period,
// whether or not the store is reached. A period of 0 means that there is no such bound.
func (f Freshness) WithRevocation(period time.Duration) Freshness {
	f.revocationPeriod = period
	return f
}

// NeedsVerification reports whether the daemon must know how old its data can be at most.
func (f Freshness) NeedsVerification() bool { return f.revocationPeriod > 0 }

// KeysVerified reports whether a request with a key may be served by a daemon whose routing configuration has the given acknowledged
// age, see Verification. The age must be taken after the request arrived, and the key looked up afterwards in the configuration then
// in force.
//
// Proof that no request is served that was sent later than the revocation period R after the store acknowledged the removal of
// its key: let the key be removed at time A and the request be sent at time S. The daemon checks at T >= S, and its configuration
// is not older than any that was acknowledged by V, with T - V < R. If the key is found, its removal was acknowledged after V, so
// A > V, and S <= T < V + R < A + R. The proof needs no bound on the delay of messages, nor on pauses of the daemon or of the machine,
// since T and V are boot times of one machine. The margin covers the difference in speed of the clocks that measured the age.
func (f Freshness) KeysVerified(age time.Duration) bool {
	return !f.NeedsVerification() || age < f.MaxServedAge()
}

// MaxServedAge is the acknowledged age from which requests with keys are refused; 0 if there is none.
func (f Freshness) MaxServedAge() time.Duration {
	return f.revocationPeriod - time.Duration(verificationMargin*float64(f.revocationPeriod))
}

// maxVerifiedAge is the verified age at which a daemon reads the store itself.
func (f Freshness) maxVerifiedAge() time.Duration {
	return time.Duration(maxVerifiedFraction * float64(f.MaxServedAge()))
}

// Age returns the age to compare with MaxAge for data with the given confirmed and verified ages. The verified age, which has a
// limit of its own, counts by as much as it would exceed the confirmed one if both reached their limits at the same time.
func (f Freshness) Age(confirmed, verified time.Duration) time.Duration {
	if !f.NeedsVerification() {
		return confirmed
	}
	return max(confirmed, verified-(f.maxVerifiedAge()-f.MaxAge()))
}

// VerifyingWait shortens the wait of a watch so that the next verification reaches this daemon, and those that follow it, before
// they would read the store themselves. A watch that returns a change verifies only the time at which it began, so the verified
// age may be high although the store has just answered.
func (f Freshness) VerifyingWait(wait, verifiedAge time.Duration) time.Duration {
	if !f.NeedsVerification() {
		return wait
	}
	passOn := f.LateWatchReply() + 2*f.PeerReplyMargin()
	return max(MinWatchWait, min(wait, f.maxVerifiedAge()-passOn-verifiedAge))
}

// VerifiedByWatch returns the time at which the store's content was certainly not newer than the reply of a watch that lasted from
// begin to end. The store answers a watch without a change no sooner than wait after the watch began. A shorter call
// proves nothing about the store's content at its end.
func VerifiedByWatch(begin, end boottime.Time, wait time.Duration, unchanged bool) boottime.Time {
	if unchanged && end.Sub(begin) >= wait {
		return begin.Add(wait)
	}
	return begin
}

// VerifiedByReply returns the time at which the store's content was certainly not newer than a peer's reply. begin is the boot time
// at which the call began. The peer held the request for held, and its data then had the verified age given.
//
// The peer received the request at begin or later, so it replied at begin + held or later. Time that the reply, or the daemon that
// receives it, spent afterwards therefore does not make the data appear fresher than it is.
func VerifiedByReply(begin boottime.Time, held, verifiedAge time.Duration) boottime.Time {
	return begin.Add(held - verifiedAge)
}

// VerifiedAge returns the age of the position's verification at now, or UnknownAge if there is none.
func (p Position) VerifiedAge(now boottime.Time) time.Duration {
	return ageOf(p.VerifiedAt, now)
}

// ageOf returns the time from at to now, or UnknownAge if at is zero.
func ageOf(at, now boottime.Time) time.Duration {
	if at.IsZero() {
		return UnknownAge
	}
	return now.Sub(at)
}
