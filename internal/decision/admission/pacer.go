package admission

import "time"

const (
	// targetSlowdown is the ratio of latency to uncongested latency up to which requests below the urgent rank may load the
	// servers. It keeps the servers' queues short for urgent requests that arrive later.
	targetSlowdown = 2.5
	// pacerDecreaseFactor multiplies the limit on congestion, at most once per mean request duration. pacerIncrease is added
	// for each request that ended without congestion.
	pacerDecreaseFactor = 0.85
	pacerIncrease       = 0.1
	// minPacerLimit is the lower bound of the number of concurrent requests below the urgent rank. Limits below 1 are enforced
	// by spacing the starts of requests in time.
	minPacerLimit = 0.1
	// slowdownWeight is the weight of a new sample in the moving average of the slowdown.
	slowdownWeight = 0.2
)

// pacer limits the concurrency of requests below the urgent rank by the congestion that these requests observe: additive
// increase, multiplicative decrease. Several daemons share the servers without coordination, so a daemon's fair share can be
// less than one concurrent request.
type pacer struct {
	limit        float64
	slowdown     float64
	lastStart    time.Time
	lastDecrease time.Time
}

// onFinish adjusts the limit after a request that observed the given slowdown; 0 means that none was measured. The limit
// grows no further than ceiling.
func (p *pacer) onFinish(slowdown float64, meanDuration time.Duration, ceiling int, now time.Time) {
	if slowdown <= 0 {
		return
	}
	p.slowdown += (slowdown - p.slowdown) * slowdownWeight
	if p.slowdown <= targetSlowdown {
		p.limit = min(float64(ceiling), p.limit+pacerIncrease)
		return
	}
	if now.Sub(p.lastDecrease) >= meanDuration {
		p.lastDecrease = now
		p.limit = max(minPacerLimit, p.limit*pacerDecreaseFactor)
	}
}

// nextStart returns the time from which the next request may start while running requests run; it is in the past if the
// request may start immediately. It returns false if a running request must end first.
func (p *pacer) nextStart(running int, meanDuration time.Duration) (time.Time, bool) {
	if p.limit >= 1 {
		return time.Time{}, running < int(p.limit)
	}
	if running > 0 {
		return time.Time{}, false
	}
	return p.lastStart.Add(time.Duration(float64(meanDuration) / p.limit)), true
}
