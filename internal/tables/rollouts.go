package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// rolloutTTL is how long a service counts as changing its index version after its shards last answered with different ones.
const rolloutTTL = 2 * time.Second

// Rollouts holds the services whose shards recently answered with different index versions. Owner: dispatch.
type Rollouts struct {
	mu           lockorder.Mutex
	lastMismatch map[model.ServiceName]time.Time
}

// NewRollouts returns an empty table.
func NewRollouts() *Rollouts {
	return &Rollouts{mu: lockorder.New(OrderRollouts), lastMismatch: map[model.ServiceName]time.Time{}}
}

// RecordMismatch records that shards of the service answered with different index versions.
func (t *Rollouts) RecordMismatch(service model.ServiceName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastMismatch[service] = now
}

// Active reports whether the service's index version is changing.
func (t *Rollouts) Active(service model.ServiceName, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.lastMismatch[service]
	if ok && now.Sub(last) > rolloutTTL {
		delete(t.lastMismatch, service)
		return false
	}
	return ok
}
