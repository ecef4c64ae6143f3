package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// rolloutMemory is how long a service counts as changing its index version after shards were last seen to differ.
const rolloutMemory = 2 * time.Second

// Rollouts holds the services whose servers were seen at different index versions. Owner: dispatch.
type Rollouts struct {
	mu   lockorder.Mutex
	seen map[model.ServiceName]time.Time
}

// NewRollouts returns an empty table.
func NewRollouts() *Rollouts {
	return &Rollouts{mu: lockorder.New(OrderRollouts), seen: map[model.ServiceName]time.Time{}}
}

// RecordMismatch records that shards of the service answered with different versions.
func (t *Rollouts) RecordMismatch(service model.ServiceName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[service] = now
}

// Active tells whether the service's version is changing.
func (t *Rollouts) Active(service model.ServiceName, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen, ok := t.seen[service]
	if ok && now.Sub(seen) > rolloutMemory {
		delete(t.seen, service)
		return false
	}
	return ok
}
