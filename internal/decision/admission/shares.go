package admission

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// shareMemory is the time constant over which past admissions are forgotten.
const shareMemory = 2 * time.Second

// shares counts the admissions of each rank with exponential decay.
type shares struct {
	counts [model.RankCount]float64
	at     time.Time
}

func (s *shares) decay(now time.Time) {
	if !s.at.IsZero() {
		f := math.Exp(-float64(now.Sub(s.at)) / float64(shareMemory))
		for i := range s.counts {
			s.counts[i] *= f
		}
	}
	s.at = now
}

func (s *shares) add(r model.Rank, now time.Time) {
	s.decay(now)
	s.counts[r]++
}

// of returns the rank's part of the recent admissions, in [0, 1].
func (s *shares) of(r model.Rank, now time.Time) float64 {
	s.decay(now)
	total := 0.0
	for _, c := range s.counts {
		total += c
	}
	if total == 0 {
		return 0
	}
	return s.counts[r] / total
}
