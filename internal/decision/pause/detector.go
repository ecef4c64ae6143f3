package pause

import "time"

const (
	// TickInterval is the time between the ticks of a process that runs.
	TickInterval = 200 * time.Millisecond
	// minPause is the time without a tick that counts as a pause. Shorter ones are due to the load of the machine.
	minPause = 2 * TickInterval
	// settleTime is how long after a pause the messages that arrived during it are read.
	settleTime = 300 * time.Millisecond
)

// Detector detects pauses of this process by its missing ticks. Create it with NewDetector. It is not safe for concurrent use.
type Detector struct {
	lastTick time.Time
	// resumed is when the last pause ended, and length is how long it was.
	resumed time.Time
	length  time.Duration
}

// NewDetector returns a detector of a process that runs at now.
func NewDetector(now time.Time) Detector { return Detector{lastTick: now} }

// Tick records that the process runs at now. It is called every TickInterval.
func (d *Detector) Tick(now time.Time) {
	if length := now.Sub(d.lastTick); length >= minPause {
		d.resumed, d.length = now, length
	}
	d.lastTick = now
}

// Held returns how long a message that is read at now may have waited since it arrived; 0 unless the process was just paused.
func (d *Detector) Held(now time.Time) time.Duration {
	// The first message after a pause may be read before the next tick.
	if sinceTick := now.Sub(d.lastTick); sinceTick >= minPause {
		return sinceTick
	}
	if now.Sub(d.resumed) < settleTime {
		return d.length
	}
	return 0
}
