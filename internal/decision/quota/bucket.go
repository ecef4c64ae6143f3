package quota

import "time"

const (
	// slotLength and slotCount bound how long after its grant a token can be returned.
	slotLength = 100 * time.Millisecond
	slotCount  = 32
	// rounding absorbs the errors of the level's additions, so that a token is not late by one of them.
	rounding = 1e-9
)

// Part is the part of a quota that a daemon grants.
type Part struct {
	// Rate is in tokens per second.
	Rate  float64
	Burst float64
	// Age is how long the daemon has been granting the part. It has accrued no tokens before that.
	Age time.Duration
	// Start is the number of tokens that a daemon has when it begins to grant the part.
	Start float64
}

// Bucket is the token bucket of a workspace at its owner in a zone. A new one holds what it would hold if it had existed, unused, for
// the part's Age. Tokens above a burst that was lowered are dropped. It is not safe for concurrent use.
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
func (b *Bucket) Take(n int, part Part, now time.Time) (taken int, next time.Duration) {
	b.advance(part, now)
	taken = max(0, min(n, int(b.level+rounding)))
	b.level -= float64(taken)
	if s := &b.slots[b.newest%slotCount]; taken > 0 && !s.taken {
		s.taken, s.peakSinceTaken = true, b.level
	}
	if taken < n {
		next = b.untilNext(part)
	}
	return taken, next
}

// Return adds n tokens whose requests were not run. age is the time since the grant, or longer. The bucket is then as if the tokens
// had not been taken: tokens that it could not have held by now are lost, and so are those that are returned too late.
func (b *Bucket) Return(n int, age time.Duration, part Part, now time.Time) {
	b.advance(part, now)
	first := slotOf(now.Add(-age))
	if first <= b.newest-slotCount {
		return
	}
	size := part.capacity()
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
func (b *Bucket) Full(part Part, now time.Time) bool {
	b.advance(part, now)
	var fresh Bucket
	fresh.advance(part, now)
	return b.level+rounding >= fresh.level
}

// advance adds the tokens since the last call, and drops those above the present burst.
func (b *Bucket) advance(part Part, now time.Time) {
	accruing := part.Age
	if b.updated.IsZero() {
		b.level = part.Start
	} else {
		accruing = min(accruing, max(0, now.Sub(b.updated)))
	}
	b.level = min(b.level+part.Rate*accruing.Seconds(), part.capacity())
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
func (b *Bucket) untilNext(part Part) time.Duration {
	if part.Rate <= 0 {
		return time.Hour
	}
	seconds := min(time.Hour.Seconds(), max(0, 1-b.level)/part.Rate)
	return time.Duration(seconds * float64(time.Second))
}

// capacity returns the largest number of tokens that the bucket holds: one at least, since it would never grant any otherwise.
func (p *Part) capacity() float64 { return max(1, p.Burst) }
