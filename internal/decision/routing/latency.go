package routing

import "time"

const (
	// slowerWeight and fasterWeight are the weights of a sample above and below the moving average. With them a straggler
	// is detected within two replies, and one fast reply does not clear it.
	slowerWeight = 0.5
	fasterWeight = 0.1
	// slowRatio is the ratio to the typical latency above which a sample counts as slow.
	slowRatio = 2
	// maxTypicalRatio is the ratio of the typical to the uncongested latency above which the typical one must have been
	// measured during a pause of the server and is discarded.
	maxTypicalRatio = 4
	// staleHalfLife and minStaleHalfLife bound the half-life of an observation of slowness without newer samples. The decay
	// lets a server that was slow be tried again.
	staleHalfLife    = 5 * time.Second
	minStaleHalfLife = 100 * time.Millisecond
)

// LatencyEstimator estimates the latency of one server from samples that may be seconds apart. A server that was slow for
// a moment has most likely paused, and one that has been slow for seconds is a straggler. Slowness therefore decays with a
// half-life of about the time for which it was observed. The zero value has no samples. It is not safe for concurrent use.
type LatencyEstimator struct {
	// typical is the moving average of the samples that were not slow.
	typical time.Duration
	slow    slowRun
}

// slowRun is the latest run of slow samples.
type slowRun struct {
	mean time.Duration
	// since is when the first request of the run was sent, and last is when its last sample was taken.
	since time.Time
	last  time.Time
	// interrupted is set when a sample that was not slow came after the last slow one.
	interrupted bool
}

// Observe records a sample. uncongested is the server's lowest latency so far, or 0 if none is known.
func (l *LatencyEstimator) Observe(sample, uncongested time.Duration, now time.Time) {
	if l.typical > maxTypicalRatio*uncongested {
		l.typical = 0
	}
	typical := max(l.typical, uncongested)
	switch {
	case typical > 0 && sample > slowRatio*typical:
		l.slow.observe(sample, now)
		return
	case l.typical == 0:
		l.typical = sample
	default:
		l.typical = movingAverage(l.typical, sample)
	}
	l.slow.interrupted = true
}

// ObserveOverdue records the age of a request that has no reply yet. It is a lower bound of the latency, so it is ignored
// unless it exceeds the estimate.
func (l *LatencyEstimator) ObserveOverdue(age, uncongested time.Duration, now time.Time) {
	if age > l.Estimate(uncongested, now) {
		l.Observe(age, uncongested, now)
	}
}

// Estimate returns the expected latency at now, or 0 without samples.
func (l *LatencyEstimator) Estimate(uncongested time.Duration, now time.Time) time.Duration {
	if l.slow.mean == 0 {
		return l.typical
	}
	floor := max(l.typical, uncongested)
	return max(floor, time.Duration(float64(l.slow.mean)*decayFactor(now.Sub(l.slow.last), l.slow.halfLife())))
}

func (r *slowRun) observe(sample time.Duration, now time.Time) {
	if r.continues(now) {
		r.mean = movingAverage(r.mean, sample)
	} else {
		*r = slowRun{mean: sample, since: now.Add(-sample)}
	}
	r.last, r.interrupted = now, false
}

// continues reports whether a slow sample at now belongs to the run: no other sample came since the run's last one, or the
// time since then is shorter than the run's duration.
func (r *slowRun) continues(now time.Time) bool {
	return r.mean > 0 && (!r.interrupted || now.Sub(r.last) < r.duration())
}

func (r *slowRun) duration() time.Duration { return r.last.Sub(r.since) }

func (r *slowRun) halfLife() time.Duration {
	return min(staleHalfLife, max(minStaleHalfLife, r.duration()))
}

// movingAverage returns the exponentially weighted moving average after a further sample.
func movingAverage(mean, sample time.Duration) time.Duration {
	weight := fasterWeight
	if sample > mean {
		weight = slowerWeight
	}
	return mean + time.Duration(float64(sample-mean)*weight)
}
