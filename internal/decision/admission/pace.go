package admission

import "time"

const (
	// targetSlowdown is the ratio of latency to uncongested latency up to which work below the urgent rank may load the
	// servers. Urgent work that arrives then finds short queues at the servers.
	targetSlowdown = 2.5
	// paceCut multiplies the limit on congestion, at most once in the mean hold time; paceStep is added for each request
	// that ended without congestion.
	paceCut  = 0.85
	paceStep = 0.1
	// minPace is the least number of requests below the urgent rank that run at a time; values below 1 are met by spacing
	// requests in time.
	minPace = 0.1
	// slowdownWeight is the weight of a new sample in the mean slowdown.
	slowdownWeight = 0.2
)

// pace limits the requests below the urgent rank by the congestion that all requests observe. Several daemons share the
// servers without knowing of each other, so a daemon's fair part can be less than one request at a time.
type pace struct {
	limit    float64
	slowdown float64
	started  time.Time
	cut      time.Time
}

// onFinish takes the slowdown that a request saw, or 0 if it saw none, and keeps the limit at or below ceiling.
func (p *pace) onFinish(slowdown float64, hold time.Duration, ceiling int, now time.Time) {
	if slowdown <= 0 {
		return
	}
	p.slowdown += (slowdown - p.slowdown) * slowdownWeight
	if p.slowdown <= targetSlowdown {
		p.limit = min(float64(ceiling), p.limit+paceStep)
		return
	}
	if now.Sub(p.cut) >= hold {
		p.cut = now
		p.limit = max(minPace, p.limit*paceCut)
	}
}

// next returns when a request may start, given how many run: now or earlier if it may start at once, and false if one
// must end first.
func (p *pace) next(running int, hold time.Duration) (time.Time, bool) {
	if p.limit >= 1 {
		return time.Time{}, running < int(p.limit)
	}
	if running > 0 {
		return time.Time{}, false
	}
	return p.started.Add(time.Duration(float64(hold) / p.limit)), true
}
