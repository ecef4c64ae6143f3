package gather

import (
	"slices"
	"time"
)

const (
	// lagSamples is the number of answers that a Lag looks back on.
	lagSamples = 16
	// assumedLag stands for answers that were not given yet.
	assumedLag = 2 * time.Millisecond
)

// Lag estimates how long a daemon takes to write an answer once it is due or complete. It depends on the daemon's share of a
// processor and its load. The zero value has no samples. It is not safe for concurrent use.
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

// Bound returns the lag that most of the latest answers kept to: all but the greatest one.
func (l *Lag) Bound() time.Duration {
	sorted := l.samples
	for i := l.count; i < lagSamples; i++ {
		sorted[i] = assumedLag
	}
	slices.Sort(sorted[:])
	return sorted[lagSamples-2]
}
