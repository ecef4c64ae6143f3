package fairshare

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// decayTime is the time constant of the exponential decay of the counts.
const decayTime = 2 * time.Second

// headroom is the factor by which the targeted shares exceed the minimum ones. A rank below its target is only served
// while it has requests waiting, so targeting the minimum itself would result in a share below it.
const headroom = 1.4

// admittedMargin is how much larger the minimum shares of ranks below the urgent one are at servers than at admission. Admission
// has bounded the load of these ranks to about their targeted shares. If servers targeted the same shares, each server's queue of
// such a rank would be near saturation, and a request to many servers waits for the longest queue. The wait is inversely
// proportional to the difference of the shares, not to their ratio.
const admittedMargin = 0.02

// Minimums holds the minimum shares of the ranks, each in [0, 1].
type Minimums [model.RankCount]float64

// OfAdmitted returns the minimum shares by which servers order requests that were admitted by m. Ranks without one get none.
func (m *Minimums) OfAdmitted() Minimums {
	out := *m
	for r := model.RankUrgent + 1; int(r) < model.RankCount; r++ {
		if out[r] > 0 {
			out[r] = min(1, out[r]+admittedMargin)
		}
	}
	return out
}

// ServedCounter counts the served requests of each rank, with exponential decay. The zero value is empty. It is not safe
// for concurrent use.
type ServedCounter struct {
	counts    [model.RankCount]float64
	decayedAt time.Time
}

// Add counts one served request of the rank.
func (c *ServedCounter) Add(r model.Rank, now time.Time) {
	c.decay(now)
	c.counts[r]++
}

// Share returns the rank's share of the recently served requests, in [0, 1], or 0 if there were none.
func (c *ServedCounter) Share(r model.Rank, now time.Time) float64 {
	c.decay(now)
	total := 0.0
	for _, count := range c.counts {
		total += count
	}
	if total == 0 {
		return 0
	}
	return c.counts[r] / total
}

// BelowMinimum reports whether the rank's share is below its minimum, including headroom.
func (c *ServedCounter) BelowMinimum(r model.Rank, minimums *Minimums, now time.Time) bool {
	return c.ratioToMinimum(r, minimums, now) < 1
}

// ratioToMinimum returns the ratio of the rank's share to its minimum, including headroom, or 1 if it has no minimum.
func (c *ServedCounter) ratioToMinimum(r model.Rank, minimums *Minimums, now time.Time) float64 {
	if minimums[r] <= 0 {
		return 1
	}
	return c.Share(r, now) / (headroom * minimums[r])
}

// FurthestBelowMinimum returns the waiting rank whose share is the furthest below its minimum, including headroom, or
// false if none is below.
func (c *ServedCounter) FurthestBelowMinimum(waiting func(model.Rank) bool, minimums *Minimums, now time.Time) (model.Rank, bool) {
	best, bestRatio, found := model.RankUrgent, 1.0, false
	for r := range model.RankCount {
		rank := model.Rank(r)
		if !waiting(rank) {
			continue
		}
		if ratio := c.ratioToMinimum(rank, minimums, now); ratio < bestRatio {
			best, bestRatio, found = rank, ratio, true
		}
	}
	return best, found
}

func (c *ServedCounter) decay(now time.Time) {
	if !c.decayedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(c.decayedAt)) / float64(decayTime))
		for i := range c.counts {
			c.counts[i] *= factor
		}
	}
	c.decayedAt = now
}
