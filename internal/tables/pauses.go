package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/pause"
	"oleandersill.example/oleandersill/internal/lockorder"
)

// Pauses knows the last pause of this process. Owner: dispatch.
type Pauses struct {
	mu       lockorder.Mutex
	detector pause.Detector
}

// NewPauses returns the table of a process that runs at now.
func NewPauses(now time.Time) *Pauses {
	return &Pauses{mu: lockorder.New(OrderPauses), detector: pause.NewDetector(now)}
}

// Tick records that the process runs at now. It is called every pause.TickInterval.
func (t *Pauses) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detector.Tick(now)
}

// Held returns how long a message that is read at now may have waited because the process was paused.
func (t *Pauses) Held(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.Held(now)
}
