package follow_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// storeFault is a fault of the store as one daemon sees it.
type storeFault int

const (
	storeHealthy storeFault = iota
	// storeRefusing makes calls fail at once, also those that wait.
	storeRefusing
	// storeUnresponsive leaves calls unanswered, also those that wait.
	storeUnresponsive
	// storeSlow answers calls after slowDelay.
	storeSlow
)

const slowDelay = 400 * time.Millisecond

var errRefused = errors.New("refused")

// change is one change of a key, in the order of revisions. Exactly one of the fields after revision is set.
type change struct {
	revision directory.Revision
	at       time.Time
	routing  *model.Routing
	server   *registry.ServerEntry
	member   *registry.MemberEntry
}

// memoryStore is a platform's store in memory. It is safe for concurrent use.
type memoryStore struct {
	mu       sync.Mutex
	era      directory.Era
	revision directory.Revision
	history  []change
	// journal holds all changes since the start, also those that history no longer has.
	journal   []change
	compacted directory.Revision
	routing   *model.Routing
	servers   map[model.ServerName]registry.ServerEntry
	members   map[model.InstanceID]lease
	changed   chan struct{}
}

// lease is a daemon's entry with its expiry.
type lease struct {
	member  model.Member
	expires time.Time
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		servers: map[model.ServerName]registry.ServerEntry{}, members: map[model.InstanceID]lease{}, changed: make(chan struct{}),
	}
}

// record appends a change under a new revision and wakes watches. The caller holds mu.
func (s *memoryStore) record(c change) {
	s.revision++
	c.revision, c.at = s.revision, time.Now()
	if c.server != nil {
		c.server.Revision = s.revision
	}
	s.history = append(s.history, c)
	s.journal = append(s.journal, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) configure(r *model.Routing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routing = r
	s.record(change{routing: r})
}

func (s *memoryStore) register(r model.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := registry.ServerEntry{Name: r.Name, Registration: r, Sequence: sequenceOf(&r)}
	s.record(change{server: &e})
	s.servers[r.Name] = e
}

func (s *memoryStore) remove(name model.ServerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.servers[name]; !ok {
		return
	}
	delete(s.servers, name)
	s.record(change{server: &registry.ServerEntry{Name: name, State: registry.EntryRemoved}})
}

func (s *memoryStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of daemons that are not renewed.
func (s *memoryStore) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range slices.Sorted(maps.Keys(s.members)) {
		if now.After(s.members[instance].expires) {
			s.removeMember(instance)
		}
	}
}

// removeMember removes a daemon's entry. The caller holds mu.
func (s *memoryStore) removeMember(instance model.InstanceID) {
	delete(s.members, instance)
	s.record(change{member: &registry.MemberEntry{Instance: instance, Gone: true}})
}

func (s *memoryStore) snapshot() registry.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := registry.Update{Era: s.era, Revision: s.revision, Complete: true, Routing: s.routing}
	for _, e := range s.servers {
		u.Servers = append(u.Servers, e)
	}
	for _, l := range s.members {
		u.Members = append(u.Members, registry.MemberEntry{Instance: l.member.Instance, Member: l.member})
	}
	return u
}

// changesAfter returns the changes after a revision and a channel that is closed with the next one.
func (s *memoryStore) changesAfter(after directory.Point) (registry.Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era != s.era || after.Revision < s.compacted || after.Revision > s.revision {
		return registry.Update{}, nil, registry.ErrHistoryLost
	}
	u := registry.Update{Era: s.era, Revision: s.revision}
	for _, c := range s.history {
		switch {
		case c.revision <= after.Revision:
		case c.routing != nil:
			u.Routing = c.routing
		case c.server != nil:
			u.Servers = append(u.Servers, *c.server)
		case c.member != nil:
			u.Members = append(u.Members, *c.member)
		}
	}
	return u, s.changed, nil
}

// storeClient is one daemon's access to the store. It implements registry.Reader and registry.Announcer.
type storeClient struct {
	store *memoryStore
	mu    sync.Mutex
	fault storeFault
	// silent is set while the open connections are silent: calls on them get no reply.
	silent bool
	// faultChanged is closed when the fault changes or the open connections fall silent.
	faultChanged chan struct{}
	self         model.InstanceID
	// leaseEra is the era in which the entry of self was announced.
	leaseEra directory.Era
	// calls lists the calls for the daemon's entry, which are refused while refusesWrites is set.
	calls         []entryCall
	refusesWrites bool
}

// entryCall is a call for a daemon's entry.
type entryCall string

const (
	callAnnounce entryCall = "announce"
	callRenew    entryCall = "renew"
	callWithdraw entryCall = "withdraw"
)

// beginCall records a call for the daemon's entry and applies the current fault.
func (c *storeClient) beginCall(ctx context.Context, call entryCall) error {
	c.mu.Lock()
	c.calls = append(c.calls, call)
	refused := c.refusesWrites
	c.mu.Unlock()
	if refused {
		return errRefused
	}
	return c.applyFault(ctx)
}

func newStoreClient(s *memoryStore) *storeClient {
	return &storeClient{store: s, faultChanged: make(chan struct{})}
}

func (c *storeClient) setFault(f storeFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
	c.wakeCalls()
}

// wakeCalls makes waiting calls look at the fault and their connection again. The caller holds mu.
func (c *storeClient) wakeCalls() {
	close(c.faultChanged)
	c.faultChanged = make(chan struct{})
}

func (c *storeClient) currentFault() (storeFault, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault, c.faultChanged
}

// silence makes the open connections silent, also for calls that wait. The next call uses one of them again, unless a call on
// them has failed.
func (c *storeClient) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
	c.wakeCalls()
}

// Reconnect implements registry.Reader.
func (c *storeClient) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = false
}

// isSilent reports whether the next call would use a silent connection.
func (c *storeClient) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// applyFault fails or delays a call according to the current fault and the state of its connection.
func (c *storeClient) applyFault(ctx context.Context) error {
	if c.isSilent() {
		<-ctx.Done()
		c.Reconnect()
		return ctx.Err()
	}
	f, _ := c.currentFault()
	switch f {
	case storeRefusing:
		return errRefused
	case storeUnresponsive:
		<-ctx.Done()
		return ctx.Err()
	case storeSlow:
		select {
		case <-time.After(slowDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	case storeHealthy:
	}
	return nil
}

func (c *storeClient) Load(ctx context.Context) (registry.Update, error) {
	if err := c.applyFault(ctx); err != nil {
		return registry.Update{}, err
	}
	return c.store.snapshot(), nil
}

func (c *storeClient) Watch(ctx context.Context, after directory.Point, wait time.Duration) (registry.Update, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := c.applyFault(ctx); err != nil {
			return registry.Update{}, err
		}
		u, changed, err := c.store.changesAfter(after)
		if err != nil || u.Revision > after.Revision {
			return u, err
		}
		_, faultChanged := c.currentFault()
		select {
		case <-changed:
		case <-faultChanged:
		case <-timeout.C:
			return u, nil
		case <-ctx.Done():
			return registry.Update{}, ctx.Err()
		}
	}
}

func (c *storeClient) Announce(ctx context.Context, self model.Member, ttl time.Duration) (directory.Era, error) {
	if err := c.beginCall(ctx, callAnnounce); err != nil {
		return 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.self, c.leaseEra = self.Instance, c.store.era
	c.store.members[self.Instance] = lease{member: self, expires: time.Now().Add(ttl)}
	c.store.record(change{member: &registry.MemberEntry{Instance: self.Instance, Member: self}})
	return c.leaseEra, nil
}

func (c *storeClient) Renew(ctx context.Context) error {
	if err := c.beginCall(ctx, callRenew); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.leaseEra != c.store.era {
		return registry.ErrStoreRestored
	}
	entry, ok := c.store.members[c.self]
	if !ok {
		return registry.ErrLeaseEnded
	}
	entry.expires = time.Now().Add(30 * time.Second)
	c.store.members[c.self] = entry
	return nil
}

func (c *storeClient) Withdraw(ctx context.Context) error {
	if err := c.beginCall(ctx, callWithdraw); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.leaseEra != c.store.era {
		return registry.ErrStoreRestored
	}
	c.store.removeMember(c.self)
	return nil
}
