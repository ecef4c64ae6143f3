package limit

import "time"

const (
	// toleratedSlowdown is the ratio of observed to uncongested latency up to which the limit grows.
	toleratedSlowdown = 2.0
	// congestedSlowdown is the ratio above which the limit shrinks.
	congestedSlowdown = 4.0
	// shrinkFactor multiplies the limit on congestion, and growStep is added per limit's worth of good replies.
	shrinkFactor = 0.7
	growStep     = 1.0
	// baselineDecay lets the uncongested latency follow a server that became slower for good.
	baselineDecay = 0.001
)

// Adaptive is an in-flight limit that grows by addition and shrinks by multiplication. The zero value is not usable;
// create it with NewAdaptive. It is not safe for concurrent use.
type Adaptive struct {
	limit    float64
	ceiling  float64
	baseline time.Duration
}

// NewAdaptive returns a limit that starts at start and stays within [1, ceiling].
func NewAdaptive(start, ceiling int) Adaptive {
	a := Adaptive{limit: float64(start), ceiling: float64(max(1, ceiling))}
	a.clamp()
	return a
}

// Limit returns the number of attempts that may be in flight, at least 1.
func (a *Adaptive) Limit() int { return int(a.limit) }

// SetCeiling changes the upper bound.
func (a *Adaptive) SetCeiling(ceiling int) {
	a.ceiling = float64(max(1, ceiling))
	a.clamp()
}

// Baseline returns the latency of the server without congestion, or 0 if none was observed.
func (a *Adaptive) Baseline() time.Duration { return a.baseline }

// Slowdown returns the ratio of a time to the uncongested latency, at least 1.
func (a *Adaptive) Slowdown(d time.Duration) float64 {
	return max(1, float64(d)/float64(max(a.baseline, 1)))
}

// ObserveLatency records the latency of a reply that the limit did not bound.
func (a *Adaptive) ObserveLatency(latency time.Duration) {
	if a.baseline == 0 || latency < a.baseline {
		a.baseline = latency
	}
	a.baseline += time.Duration(float64(latency-a.baseline) * baselineDecay)
}

// OnReply records a reply after latency while inFlight attempts were in flight.
func (a *Adaptive) OnReply(latency time.Duration, inFlight int) {
	a.ObserveLatency(latency)
	slowdown := a.Slowdown(latency)
	switch {
	case slowdown > congestedSlowdown:
		a.limit -= (1 - shrinkFactor) / max(1, a.limit)
	case slowdown <= toleratedSlowdown && inFlight >= a.Limit():
		a.limit += growStep / max(1, a.limit)
	}
	a.clamp()
}

// OnOverload records that the server shed an attempt.
func (a *Adaptive) OnOverload() {
	a.limit *= shrinkFactor
	a.clamp()
}

func (a *Adaptive) clamp() { a.limit = min(a.ceiling, max(1, a.limit)) }
