package budget

import "time"

const (
	// stepFraction is the step of the quantile estimate relative to the estimate, and minStep the smallest step.
	stepFraction = 0.05
	minStep      = 50 * time.Microsecond
)

// Quantile estimates a latency quantile by stochastic approximation: the estimate moves up by step*q on a larger sample
// and down by step*(1-q) otherwise. Its state is one word, since a daemon holds one estimate for each of up to 73,000
// servers. The zero value has no samples.
type Quantile struct {
	estimate time.Duration
}

// Observe updates the estimate of quantile q, in (0, 1), with a sample.
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

// Value returns the estimate, or 0 if there were no samples.
func (e *Quantile) Value() time.Duration { return e.estimate }
