package quota

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// slotLength and slotCount bound how long after its grant a token can be returned.
	slotLength = 100 * time.Millisecond
	slotCount  = 32
	// rounding absorbs the errors of the level's additions, so that a token is not late by one of them.
	rounding = 1e-9
)

// Term is the part of a quota that belongs to one availability zone, at a daemon that may grant it.
type Term struct {
	// Weight is the zone's part of the quota; the weights of all zones add up to 1.
	Weight float64
	// Age is how long the daemon has been granting this part without interruption.
	Age time.Duration
}

// Share holds the parts of a quota that a daemon may grant.
type Share []Term

// Weight returns the sum of the parts, at most 1.
func (s Share) Weight() float64 {
	sum := 0.0
	for _, t := range s {
		sum += t.Weight
	}
	return sum
}

// Bucket is the token bucket of a workspace at its owner. Its zero value has no tokens from before the Age of each part of the
// share: a part that the daemon has granted for long fills it, and a part that it has just taken over adds nothing yet. Tokens above a
// burst or share that was lowered are dropped. It is not safe for concurrent use.
type Bucket struct {
	level   float64
	updated time.Time
	// slots describes the last slotCount slots of slotLength, and newest is the number of the newest one. It is nil until the first use.
	slots  *[slotCount]slot
	newest int64
}

// slot holds the highest level of the bucket in a slot, and the highest one since the first token was taken in it.
type slot struct {
	peak, peakSinceTaken float64
	taken                bool
}

// Take removes up to n tokens. It returns how many it removed and, if these are fewer than n, the time until the next one.
func (b *Bucket) Take(n int, limit model.Quota, share Share, now time.Time) (taken int, next time.Duration) {
	b.advance(limit, share, now)
	taken = max(0, min(n, int(b.level+rounding)))
	b.level -= float64(taken)
	if s := &b.slots[b.newest%slotCount]; taken > 0 && !s.taken {
		s.taken, s.peakSinceTaken = true, b.level
	}
	if taken < n {
		next = b.untilNext(limit, share)
	}
	return taken, next
}

// Return adds n tokens whose requests were not run. age is the time since the grant, or longer. The bucket is then as if the tokens
// had not been taken: tokens that it could not have held by now are lost, and so are those that are returned too late.
func (b *Bucket) Return(n int, age time.Duration, limit model.Quota, share Share, now time.Time) {
	b.advance(limit, share, now)
	first := slotOf(now.Add(-age))
	if first <= b.newest-slotCount {
		return
	}
	size := capacity(limit, share)
	peak, added := 0.0, float64(n)
	for number := first; number <= b.newest; number++ {
		s := &b.slots[number%slotCount]
		if number == first && s.taken {
			// What the bucket held before the token was taken does not matter.
			peak = s.peakSinceTaken
		} else {
			peak = max(peak, s.peak)
		}
		s.raise(added, size)
		added = max(0, min(float64(n), size-peak))
	}
	b.level += added
}

// raise adds tokens to the levels in the slot, up to the size of the bucket.
func (s *slot) raise(tokens, size float64) {
	s.peak = max(s.peak, min(size, s.peak+tokens))
	s.peakSinceTaken = max(s.peakSinceTaken, min(size, s.peakSinceTaken+tokens))
}

// Full reports whether the bucket holds what a new one would hold, so that it can be removed.
func (b *Bucket) Full(limit model.Quota, share Share, now time.Time) bool {
	b.advance(limit, share, now)
	var fresh Bucket
	fresh.advance(limit, share, now)
	return b.level+rounding >= fresh.level
}

// advance adds the tokens since the last call, and drops those above the burst of the present share.
func (b *Bucket) advance(limit model.Quota, share Share, now time.Time) {
	elapsed := time.Duration(math.MaxInt64)
	if !b.updated.IsZero() {
		elapsed = max(0, now.Sub(b.updated))
	}
	for _, t := range share {
		b.level += limit.Rate * t.Weight * min(elapsed, t.Age).Seconds()
	}
	b.level = min(b.level, ceiling(limit, share))
	b.updated = now
	b.recordPeak(now)
}

// recordPeak records the level in the slot of now and in those since the last call, during which it was no higher.
func (b *Bucket) recordPeak(now time.Time) {
	number := slotOf(now)
	if b.slots == nil {
		b.slots, b.newest = new([slotCount]slot), number-slotCount
	}
	for n := max(b.newest+1, number-slotCount+1); n <= number; n++ {
		b.slots[n%slotCount] = slot{peak: b.level, peakSinceTaken: b.level}
	}
	b.newest = max(b.newest, number)
	s := &b.slots[b.newest%slotCount]
	s.peak, s.peakSinceTaken = max(s.peak, b.level), max(s.peakSinceTaken, b.level)
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// untilNext returns the time until the bucket holds one token, or an hour if it gets none.
func (b *Bucket) untilNext(limit model.Quota, share Share) time.Duration {
	rate := limit.Rate * share.Weight()
	if rate <= 0 {
		return time.Hour
	}
	seconds := min(time.Hour.Seconds(), max(0, 1-b.level)/rate)
	return time.Duration(seconds * float64(time.Second))
}

// ceiling returns the most tokens that the bucket may hold: a part of the share brings no tokens from before its Age.
func ceiling(limit model.Quota, share Share) float64 {
	return sized(limit, share, func(t Term) float64 { return limit.Rate * t.Age.Seconds() })
}

// capacity returns the burst of the share.
func capacity(limit model.Quota, share Share) float64 {
	return sized(limit, share, func(Term) float64 { return math.Inf(1) })
}

// sized adds up the burst of each part, bounded by what it accrued. A bucket with a part of the quota holds one token at least, since
// it would never grant one otherwise.
func sized(limit model.Quota, share Share, accrued func(Term) float64) float64 {
	if len(share) == 0 {
		return 0
	}
	sum := 0.0
	for _, t := range share {
		sum += t.Weight * min(limit.Burst, accrued(t))
	}
	return max(1, sum)
}
