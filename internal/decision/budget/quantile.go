package budget

import "time"

const (
	// stepFraction scales the step of the quantile estimate to its size.
	stepFraction = 0.05
	minStep      = 50 * time.Microsecond
)

// Quantile estimates a latency quantile by stochastic approximation: the estimate moves up by step*q on a larger sample
// and down by step*(1-q) on a smaller one. It needs two words of state, which matters at 73,000 servers. The zero value
// is empty.
type Quantile struct {
	estimate time.Duration
}

// Observe adds a sample to the estimate of quantile q, in (0, 1).
func (e *Quantile) Observe(sample time.Duration, q float64) {
	if e.estimate == 0 {
		e.estimate = sample
		return
	}
	step := max(minStep, time.Duration(float64(e.estimate)*stepFraction))
	if sample > e.estimate {
		e.estimate += time.Duration(float64(step) * q)
	} else {
		e.estimate -= time.Duration(float64(step) * (1 - q))
	}
}

// Value returns the estimate, or 0 if there are no samples.
func (e *Quantile) Value() time.Duration { return e.estimate }
