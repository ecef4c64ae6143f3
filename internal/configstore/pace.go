package configstore

import (
	"context"
	"iter"
	"time"

	"oleandersill.example/oleandersill/internal/pool"
)

// Pace bounds how often a call of the store is repeated, and the pauses in between, which double from First up to Most.
type Pace struct {
	Attempts int
	First    time.Duration
	Most     time.Duration
}

// DefaultPace rides out lost replies and short outages, about 2 s in all.
var DefaultPace = Pace{Attempts: 8, First: 10 * time.Millisecond, Most: 500 * time.Millisecond}

// CallTimeout bounds one call of the store, so that a call without an answer leaves time to read back.
const CallTimeout = 5 * time.Second

// OrDefault returns DefaultPace for the zero value.
func (p Pace) OrDefault() Pace {
	if p.Attempts == 0 {
		return DefaultPace
	}
	return p
}

// Each yields the number of each attempt, pausing before all but the first one. It ends early with ctx.
func (p Pace) Each(ctx context.Context) iter.Seq[int] {
	return func(yield func(int) bool) {
		delay := p.First
		for i := range p.Attempts {
			if i > 0 {
				if !pool.Sleep(ctx, delay) {
					return
				}
				delay = min(2*delay, p.Most)
			}
			if !yield(i) {
				return
			}
		}
	}
}
