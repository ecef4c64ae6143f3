package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/lockorder"
)

// AnswerLag holds how long this daemon takes to write answers over many shards. Owner: query/scatter.
type AnswerLag struct {
	mu  lockorder.Mutex
	lag gather.Lag
}

// NewAnswerLag returns an empty table.
func NewAnswerLag() *AnswerLag { return &AnswerLag{mu: lockorder.New(OrderAnswerLag)} }

// Observe records the time from when an answer was due or complete until it was written.
func (t *AnswerLag) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.Observe(d)
}

// Bound returns the time that most of the latest answers kept to.
func (t *AnswerLag) Bound() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Bound()
}
