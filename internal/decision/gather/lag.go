package gather

import (
	"slices"
	"time"
)

const (
	// lagSamples is the number of latest answers that a Lag keeps.
	lagSamples = 16
	// assumedLag is used in place of samples that are not there yet.
	assumedLag = 2 * time.Millisecond
)

// Lag estimates how long a daemon takes to write an answer after the answer is due or complete. This depends on the daemon's
// CPU share and load. The zero value has no samples. It is not safe for concurrent use.
type Lag struct {
	samples [lagSamples]time.Duration
	count   int
}

// Observe records the lag of one answer.
func (l *Lag) Observe(d time.Duration) {
	if l.count < lagSamples {
		l.count++
	}
	copy(l.samples[1:], l.samples[:lagSamples-1])
	l.samples[0] = d
}

// Bound returns the second-largest of the latest lags, so that a single outlier has no effect.
func (l *Lag) Bound() time.Duration {
	sorted := l.samples
	for i := l.count; i < lagSamples; i++ {
		sorted[i] = assumedLag
	}
	slices.Sort(sorted[:])
	return sorted[lagSamples-2]
}
