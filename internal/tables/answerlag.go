package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/lockorder"
)

// AnswerLag estimates how long this daemon takes to write an answer gathered from several shards. Owner: query/scatter.
type AnswerLag struct {
	mu  lockorder.Mutex
	lag gather.Lag
}

// NewAnswerLag returns an empty table.
func NewAnswerLag() *AnswerLag { return &AnswerLag{mu: lockorder.New(OrderAnswerLag)} }

// Observe records the time from when an answer was due or complete to when it was written.
func (t *AnswerLag) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.Observe(d)
}

// Bound returns an upper bound of the lag of most recent answers.
func (t *AnswerLag) Bound() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Bound()
}
