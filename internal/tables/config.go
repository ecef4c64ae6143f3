package tables

import (
	"sync/atomic"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Config holds the Topology in force. Its revision only grows. Owner: command/fleet. Reads take no lock.
type Config struct {
	mu      lockorder.Mutex
	current atomic.Pointer[model.Topology]
	changed chan struct{}
}

// NewConfig returns an empty table.
func NewConfig() *Config {
	return &Config{mu: lockorder.New(OrderConfig), changed: make(chan struct{})}
}

// Current returns the Topology in force, or nil if there is none yet.
func (c *Config) Current() *model.Topology { return c.current.Load() }

// Revision returns the revision in force, or 0.
func (c *Config) Revision() model.Revision {
	if t := c.current.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// Install puts a Topology in force if its revision is higher than the one in force, and tells whether it did.
func (c *Config) Install(t *model.Topology) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Revision <= c.Revision() {
		return false
	}
	c.current.Store(t)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the next Topology is installed.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
