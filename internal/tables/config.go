package tables

import (
	"maps"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Config holds the current Topology with the stored values from which it was built. Its revision never decreases. Reading
// the Topology takes no lock. Owner: command/fleet.
type Config struct {
	mu           lockorder.Mutex
	current      atomic.Pointer[model.Topology]
	changed      chan struct{}
	document     Document
	rejected     Rejection
	storeContact time.Time
}

// Document is a configuration revision in its stored form. Its maps and values are immutable once it is installed.
type Document struct {
	Root  *configdoc.Root
	Offer model.Offer
	// Values are the root and the parts by hash, compressed by configdoc.Pack. Uncompressed values would take about as much
	// memory as the Topology, and only the parts of changed services are read again.
	Values map[configdoc.Hash][]byte
}

// Rejection is an offered revision that was not installed.
type Rejection struct {
	Offer  model.Offer
	Reason string
	At     time.Time
}

// NewConfig returns an empty table.
func NewConfig() *Config {
	return &Config{mu: lockorder.New(OrderConfig), changed: make(chan struct{})}
}

// Current returns the current Topology, or nil if none was installed yet.
func (c *Config) Current() *model.Topology { return c.current.Load() }

// Revision returns the revision of the current Topology, or 0 if there is none.
func (c *Config) Revision() model.Revision {
	if t := c.current.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// Install makes t the current Topology if its revision is higher than the current one, and reports whether it did. A daemon
// cannot serve the configuration parts of a Topology installed this way to peers; see InstallDocument.
func (c *Config) Install(t *model.Topology) bool { return c.InstallDocument(t, Document{}) }

// InstallDocument is like Install and also stores the document from which the Topology was built.
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

// Document returns the stored form of the current revision. The caller must not modify its values.
func (c *Config) Document() Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Reject records an offered revision that was not installed.
func (c *Config) Reject(r Rejection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = r
}

// Rejected returns the last rejection. Its time is zero if there was none.
func (c *Config) Rejected() Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// RecordStoreContact records that the store answered this daemon or another one at the given time. Earlier times than the
// one known are ignored.
func (c *Config) RecordStoreContact(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.storeContact) {
		c.storeContact = at
	}
}

// StoreContact returns the latest time at which the store is known to have answered any daemon, or the zero time.
func (c *Config) StoreContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeContact
}

// Changed returns a channel that is closed when the next Topology is installed.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
