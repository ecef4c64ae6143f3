package routing

import "time"

const (
	// slowerWeight and fasterWeight are the weights of a sample above and below the mean: a straggler is noticed within two
	// replies, and one fast reply does not clear it.
	slowerWeight = 0.5
	fasterWeight = 0.1
	// lateFactor is the ratio to the usual latency above which a sample is late.
	lateFactor = 2
	// usualSpread is the ratio of the usual to the uncongested latency above which the usual one was learnt in a pause.
	usualSpread = 4
	// staleHalfLife is the longest time after which an observed lateness that was not renewed counts half, so that a server
	// that was slow is tried again; shortestHalfLife is the least one.
	staleHalfLife    = 5 * time.Second
	shortestHalfLife = 100 * time.Millisecond
)

// LatencyEstimator estimates the latency of one server from samples that may be seconds apart. A server that was late for a moment
// has most likely paused, and one that has been late for seconds is slow: lateness is believed for about as long as it was
// seen. The zero value has no samples. It is not safe for concurrent use.
type LatencyEstimator struct {
	// timely is the mean of the samples that were not late.
	timely time.Duration
	late   lateness
}

// lateness is the latest run of late samples.
type lateness struct {
	mean time.Duration
	// since is when the first request of the run was sent, and last when its last sample was taken.
	since time.Time
	last  time.Time
	// interrupted tells that a timely sample came after the last late one.
	interrupted bool
}

// Observe takes a sample; uncongested is the server's least latency so far, 0 if none is known.
func (l *LatencyEstimator) Observe(sample, uncongested time.Duration, now time.Time) {
	if l.timely > usualSpread*uncongested {
		l.timely = 0
	}
	usual := max(l.timely, uncongested)
	switch {
	case usual > 0 && sample > lateFactor*usual:
		l.late.observe(sample, now)
		return
	case l.timely == 0:
		l.timely = sample
	default:
		l.timely = approach(l.timely, sample)
	}
	l.late.interrupted = true
}

// ObserveOverdue takes the age of a request that has no reply yet, which tells something only if it exceeds the estimate.
func (l *LatencyEstimator) ObserveOverdue(age, uncongested time.Duration, now time.Time) {
	if age > l.Estimate(uncongested, now) {
		l.Observe(age, uncongested, now)
	}
}

// Estimate returns the latency to expect at now, or 0 without samples.
func (l *LatencyEstimator) Estimate(uncongested time.Duration, now time.Time) time.Duration {
	if l.late.mean == 0 {
		return l.timely
	}
	floor := max(l.timely, uncongested)
	return max(floor, time.Duration(float64(l.late.mean)*fade(now.Sub(l.late.last), l.late.halfLife())))
}

func (r *lateness) observe(sample time.Duration, now time.Time) {
	if r.continues(now) {
		r.mean = approach(r.mean, sample)
	} else {
		*r = lateness{mean: sample, since: now.Add(-sample)}
	}
	r.last, r.interrupted = now, false
}

// continues tells whether a late sample belongs to the run: since the last one no timely sample came, or less time has
// passed than the run had lasted.
func (r *lateness) continues(now time.Time) bool {
	return r.mean > 0 && (!r.interrupted || now.Sub(r.last) < r.length())
}

func (r *lateness) length() time.Duration { return r.last.Sub(r.since) }

func (r *lateness) halfLife() time.Duration {
	return min(staleHalfLife, max(shortestHalfLife, r.length()))
}

func approach(mean, sample time.Duration) time.Duration {
	weight := fasterWeight
	if sample > mean {
		weight = slowerWeight
	}
	return mean + time.Duration(float64(sample-mean)*weight)
}
