package share

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// memory is the time constant over which past service is forgotten.
const memory = 2 * time.Second

// headroom multiplies the minimum that ranks are brought up to: a rank below it is served only when it has work waiting,
// so that aiming at the minimum itself ends below it.
const headroom = 1.4

// Minimums are the ranks' minimum shares, each in [0, 1].
type Minimums [model.RankCount]float64

// ServedCounter counts the service that each rank got, with exponential decay. The zero value is empty. It is not safe for
// concurrent use.
type ServedCounter struct {
	counts [model.RankCount]float64
	at     time.Time
}

// Add counts one unit of service for the rank.
func (l *ServedCounter) Add(r model.Rank, now time.Time) {
	l.decay(now)
	l.counts[r]++
}

// Share returns the rank's part of the recent service, in [0, 1].
func (l *ServedCounter) Share(r model.Rank, now time.Time) float64 {
	l.decay(now)
	total := 0.0
	for _, c := range l.counts {
		total += c
	}
	if total == 0 {
		return 0
	}
	return l.counts[r] / total
}

// BelowMinimum tells whether the rank's part of the recent service is below its minimum share with headroom.
func (l *ServedCounter) BelowMinimum(r model.Rank, minimums *Minimums, now time.Time) bool {
	return l.need(r, minimums, now) < 1
}

// need returns the ratio of the rank's part of the recent service to its minimum share with headroom; 1 without one.
func (l *ServedCounter) need(r model.Rank, minimums *Minimums, now time.Time) float64 {
	if minimums[r] <= 0 {
		return 1
	}
	return l.Share(r, now) / (headroom * minimums[r])
}

// FurthestBelowMinimum returns the waiting rank that is furthest below its minimum share, or false if none is below.
func (l *ServedCounter) FurthestBelowMinimum(waiting func(model.Rank) bool, minimums *Minimums, now time.Time) (model.Rank, bool) {
	best, bestRatio, found := model.RankUrgent, 1.0, false
	for r := range model.RankCount {
		rank := model.Rank(r)
		if !waiting(rank) {
			continue
		}
		if ratio := l.need(rank, minimums, now); ratio < bestRatio {
			best, bestRatio, found = rank, ratio, true
		}
	}
	return best, found
}

func (l *ServedCounter) decay(now time.Time) {
	if !l.at.IsZero() {
		f := math.Exp(-float64(now.Sub(l.at)) / float64(memory))
		for i := range l.counts {
			l.counts[i] *= f
		}
	}
	l.at = now
}
