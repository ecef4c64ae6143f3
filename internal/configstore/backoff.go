package configstore

import (
	"context"
	"iter"
	"time"

	"oleandersill.example/oleandersill/internal/pool"
)

// Backoff limits the attempts of a call to the store. The delay between attempts doubles from InitialDelay up to MaxDelay.
type Backoff struct {
	MaxAttempts  int
	InitialDelay time.Duration
	MaxDelay     time.Duration
}

// DefaultBackoff outlasts lost replies and short outages. Its delays add up to 1.13 s.
var DefaultBackoff = Backoff{MaxAttempts: 8, InitialDelay: 10 * time.Millisecond, MaxDelay: 500 * time.Millisecond}

// CallTimeout limits one call to the store, so that time is left to read the store again if the call gets no answer.
const CallTimeout = 5 * time.Second

// OrDefault returns b, or DefaultBackoff if MaxAttempts is 0.
func (b Backoff) OrDefault() Backoff {
	if b.MaxAttempts == 0 {
		return DefaultBackoff
	}
	return b
}

// Attempts yields the index of each attempt, and pauses before all but the first one. It ends early if ctx is done.
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
