package tables

import (
	"maps"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Config holds the Topology in force with the raw values that it was made from. Its revision only grows. Owner:
// command/fleet. Reads of the Topology take no lock.
type Config struct {
	mu       lockorder.Mutex
	current  atomic.Pointer[model.Topology]
	changed  chan struct{}
	document Document
	rejected Rejection
	contact  time.Time
}

// Document is a revision as it is stored. Its maps and values are never changed once it is installed.
type Document struct {
	Root  *configdoc.Root
	Offer model.Offer
	// Values are the root and parts by hash, packed by configdoc.Pack: raw ones would take about as much memory as the
	// Topology, and only the parts of changed services are read again.
	Values map[configdoc.Hash][]byte
}

// Rejection is the last revision that was offered and not put in force.
type Rejection struct {
	Offer  model.Offer
	Reason string
	At     time.Time
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

// Install puts a Topology in force if its revision is higher than the one in force, and tells whether it did. The
// daemon cannot serve its parts to peers; see InstallDocument.
func (c *Config) Install(t *model.Topology) bool { return c.InstallDocument(t, Document{}) }

// InstallDocument is Install with the values that the Topology was made from.
func (c *Config) InstallDocument(t *model.Topology, d Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Revision <= c.Revision() {
		return false
	}
	c.current.Store(t)
	c.document = d
	c.document.Values = maps.Clone(d.Values)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Document returns the raw form of the revision in force. The caller must not change its values.
func (c *Config) Document() Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Reject records that an offered revision was not put in force.
func (c *Config) Reject(r Rejection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = r
}

// Rejected returns the last rejection; its time is zero if there was none.
func (c *Config) Rejected() Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// RecordStoreContact records when this daemon, or one that it heard of, last had an answer from the store.
func (c *Config) RecordStoreContact(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.contact) {
		c.contact = at
	}
}

// StoreContact returns when the store was last contacted as far as this daemon knows, or the zero time.
func (c *Config) StoreContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact
}

// Changed returns a channel that is closed when the next Topology is installed.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
