package limit

import "time"

const (
	// toleratedSlowdown is the ratio of observed to uncongested latency up to which the limit grows.
	toleratedSlowdown = 2.0
	// congestedSlowdown is the ratio above which the limit shrinks.
	congestedSlowdown = 4.0
	// decreaseFactor multiplies the limit on overload; a congested reply subtracts (1 - decreaseFactor) / limit. An uncongested
	// reply adds increase / limit if the limit is in full use.
	decreaseFactor = 0.7
	increase       = 1.0
	// baselineDecay lets the uncongested latency follow a server that became permanently slower.
	baselineDecay = 0.001
)

// Adaptive is a limit of in-flight attempts with additive increase, and multiplicative decrease on overload (AIMD). The zero
// value is not usable; create it with NewAdaptive. It is not safe for concurrent use.
type Adaptive struct {
	limit   float64
	ceiling float64
	// baseline is the latency without congestion, or 0 if none was observed.
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

// Baseline returns the server's latency without congestion, or 0 if none was observed.
func (a *Adaptive) Baseline() time.Duration { return a.baseline }

// Slowdown returns the ratio of d to the baseline, at least 1.
func (a *Adaptive) Slowdown(d time.Duration) float64 {
	return max(1, float64(d)/float64(max(a.baseline, 1)))
}

// ObserveLatency updates the baseline with the latency of a reply to an attempt that the limit did not count.
func (a *Adaptive) ObserveLatency(latency time.Duration) {
	if a.baseline == 0 || latency < a.baseline {
		a.baseline = latency
	}
	a.baseline += time.Duration(float64(latency-a.baseline) * baselineDecay)
}

// OnReply updates the baseline and the limit with the latency of a reply that came while inFlight attempts were in flight.
func (a *Adaptive) OnReply(latency time.Duration, inFlight int) {
	a.ObserveLatency(latency)
	slowdown := a.Slowdown(latency)
	switch {
	case slowdown > congestedSlowdown:
		a.limit -= (1 - decreaseFactor) / max(1, a.limit)
	case slowdown <= toleratedSlowdown && inFlight >= a.Limit():
		a.limit += increase / max(1, a.limit)
	}
	a.clamp()
}

// OnOverload reduces the limit after the server shed an attempt.
func (a *Adaptive) OnOverload() {
	a.limit *= decreaseFactor
	a.clamp()
}

func (a *Adaptive) clamp() { a.limit = min(a.ceiling, max(1, a.limit)) }
