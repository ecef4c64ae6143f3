package configstore

import (
	"context"
	"iter"
	"time"

	"oleandersill.example/oleandersill/internal/pool"
)

// Backoff bounds how often a call of the store is repeated, and the pauses in between, which double from InitialDelay up to MaxDelay.
type Backoff struct {
	MaxAttempts  int
	InitialDelay time.Duration
	MaxDelay     time.Duration
}

// DefaultBackoff rides out lost replies and short outages, about 2 s in all.
var DefaultBackoff = Backoff{MaxAttempts: 8, InitialDelay: 10 * time.Millisecond, MaxDelay: 500 * time.Millisecond}

// CallTimeout bounds one call of the store, so that a call without an answer leaves time to read back.
const CallTimeout = 5 * time.Second

// OrDefault returns DefaultBackoff for the zero value.
func (b Backoff) OrDefault() Backoff {
	if b.MaxAttempts == 0 {
		return DefaultBackoff
	}
	return b
}

// Attempts yields the number of each attempt, pausing before all but the first one. It ends early with ctx.
func (b Backoff) Attempts(ctx context.Context) iter.Seq[int] {
	return func(yield func(int) bool) {
		delay := b.InitialDelay
		for i := range b.MaxAttempts {
			if i > 0 {
				if !pool.Sleep(ctx, delay) {
					return
				}
				delay = min(2*delay, b.MaxDelay)
			}
			if !yield(i) {
				return
			}
		}
	}
}
