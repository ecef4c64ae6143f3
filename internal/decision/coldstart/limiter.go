package coldstart

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Allowance states by how much the attempts at a cold server may exceed the rate of its service: in any second, at most
// rate x Factor + Slack attempts may be sent. The zero value means that a deployment states no such bound.
type Allowance struct {
	Factor float64
	Slack  float64
}

const (
	// MaxGranters is the number of daemons that may grant tokens for a server: its owner, and the one that others take for the owner
	// while they do not reach the first.
	MaxGranters = 2
	// burstShare is the part of an owner's share that it may grant at once. The rest accrues during the second.
	burstShare = 0.25
	// minBurst is the smallest burst that grants any token.
	minBurst = 1
	// slowRate is the rate of a bucket that may grant one token in any second, in tokens per second. It is below 1, so that two
	// tokens are more than a second apart.
	slowRate = 0.9
	// reservedShare is the part of the burst that is granted only to urgent attempts.
	reservedShare = 1.0 / 3
	// rounding absorbs the errors of the level's additions, so that a token is not late by one of them.
	rounding = 1e-9
)

// Limits reports whether attempts at cold servers of a service with the given rate per second are limited.
func (a Allowance) Limits(rate float64) bool { return a.Factor > 0 && rate > 0 }

// ownerShare returns the number of tokens that one owner may grant in any second.
func (a Allowance) ownerShare(rate float64) float64 { return (rate*a.Factor + a.Slack) / MaxGranters }

// Limiter is the token bucket of one server at one daemon. In any second it grants at most half of what may be sent to the server,
// since two daemons may grant tokens for it. Create it with New. It is not safe for concurrent use.
type Limiter struct {
	// rate is in tokens per second.
	rate     float64
	burst    float64
	reserved float64
	level    float64
	updated  time.Time
}

// New returns the limiter of a server whose service has the given rate per second. It holds one token. It never grants one if an
// owner's share is below one token per second.
func New(a Allowance, rate float64) Limiter {
	var l Limiter
	l.Configure(a, rate)
	l.level = min(l.burst, minBurst)
	return l
}

// Configure changes the allowance and the rate of the service. Tokens above a burst that was lowered are dropped.
func (l *Limiter) Configure(a Allowance, rate float64) {
	share := a.ownerShare(rate)
	l.rate, l.burst = 0, 0
	if share >= minBurst {
		l.burst = max(minBurst, burstShare*share)
		l.rate = share - l.burst
	}
	if math.Floor(share) == minBurst {
		// share - burst would be close to 0, and the server would hardly get any requests.
		l.rate = slowRate
	}
	// An attempt of another rank needs a whole token beside the reserved part.
	l.reserved = min(reservedShare*l.burst, max(0, l.burst-minBurst))
	l.level = min(l.level, l.burst)
}

// Take removes a token for an attempt of the given rank, and reports whether there was one.
func (l *Limiter) Take(rank model.Rank, now time.Time) bool {
	l.advance(now)
	left := l.level - 1
	kept := l.reserved
	if rank == model.RankUrgent {
		kept = 0
	}
	if left+rounding < kept {
		return false
	}
	l.level = max(0, left)
	return true
}

// advance adds the tokens that accrued since the last call.
func (l *Limiter) advance(now time.Time) {
	if !l.updated.IsZero() {
		accruing := max(0, now.Sub(l.updated))
		l.level = min(l.burst, l.level+l.rate*accruing.Seconds())
	}
	if now.After(l.updated) {
		l.updated = now
	}
}
