package memplatform

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/standin"
)

// maxHistory is how long replaced values and lists are kept, and so the largest useful StaleBy and ListLag.
const maxHistory = 2 * time.Minute

// Faults are the faults of a platform. The zero value is a healthy platform.
type Faults struct {
	// Down fails every call with platform.ErrUnavailable.
	Down bool
	// Silent never answers: each call has no effect and ends with its context.
	Silent bool
	// LostReplies applies each write and then fails it with platform.ErrUnknown.
	LostReplies bool
	// Delay is added to each call, before it takes effect.
	Delay time.Duration
	// StaleBy is the age of the data that Get and List return. Watches return later by the same time.
	StaleBy time.Duration
	// ListLag is the age of the list of instances.
	ListLag time.Duration
}

// Platform implements platform.Store and platform.InstanceList. Create it with New.
type Platform struct {
	now func() time.Time

	mu     lockorder.Mutex
	faults Faults
	keys   map[string]*keyHistory
	leases map[platform.LeaseID]*lease
	// granted is the number of leases granted so far.
	granted int
	// unanswered is the number of calls that Faults.Silent left unanswered.
	unanswered int
	// lists are the lists of instances, oldest first.
	lists []listState
	// changed is closed and replaced at every write and every change of faults.
	changed chan struct{}
}

// keyHistory is the recent history of a key.
type keyHistory struct {
	// states are oldest first; the last one is current.
	states []keyState
	// version is the number of writes of the key, including those before a delete.
	version platform.Version
}

// keyState is the state of a key since a time: a value, or the zero value and version while the key does not exist.
type keyState struct {
	since   time.Time
	present bool
	value   []byte
	version platform.Version
	lease   platform.LeaseID
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// listState is the list of instances since a time.
type listState struct {
	since     time.Time
	instances []platform.Instance
}

// New returns an empty platform with the clock now; nil means time.Now.
func New(now func() time.Time) *Platform {
	if now == nil {
		now = time.Now
	}
	return &Platform{
		now:     now,
		mu:      lockorder.New(standin.OrderPlatformData),
		keys:    map[string]*keyHistory{},
		leases:  map[platform.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(list []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.lists = append(p.lists, listState{since: now, instances: slices.Clone(list)})
	for len(p.lists) > 1 && now.Sub(p.lists[1].since) > maxHistory {
		p.lists = p.lists[1:]
	}
}

// beforeCall applies the faults that precede a call. It wraps ifUnanswered in the error of a call whose context has ended.
func (p *Platform) beforeCall(ctx context.Context, ifUnanswered error) error {
	f := p.currentFaults()
	switch {
	case f.Down:
		return errors.Wrap(platform.ErrUnavailable, "memplatform: down")
	case f.Silent:
		p.countUnanswered()
		<-ctx.Done()
	case f.Delay > 0:
		pool.Sleep(ctx, f.Delay)
	}
	return contextError(ctx, ifUnanswered)
}

// contextError returns an error that wraps sentinel and the error of the context, or nil if the context has not ended.
func contextError(ctx context.Context, sentinel error) error {
	if ctx.Err() == nil {
		return nil
	}
	return fmt.Errorf("memplatform: %w: %w", sentinel, ctx.Err())
}

func (p *Platform) countUnanswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered++
}

// Unanswered returns how many calls Faults.Silent has left unanswered so far.
func (p *Platform) Unanswered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// notifyWatches wakes the waiting watches. The caller holds the lock.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// expireLeases ends the leases that have expired and deletes their keys. The caller holds the lock.
func (p *Platform) expireLeases(now time.Time) {
	for id, l := range p.leases {
		if !now.Before(l.deadline) {
			p.endLease(id, l.deadline)
		}
	}
}

// endLease removes a lease and deletes its keys as of the given time. The caller holds the lock.
func (p *Platform) endLease(id platform.LeaseID, at time.Time) {
	delete(p.leases, id)
	for _, k := range p.keys {
		if s := k.last(); s.present && s.lease == id {
			k.push(keyState{since: at})
		}
	}
}

// last returns the current state. A history has at least one state.
func (k *keyHistory) last() keyState { return k.states[len(k.states)-1] }

// push adds the new current state and drops states that ended more than maxHistory before it.
func (k *keyHistory) push(s keyState) {
	k.states = append(k.states, s)
	for len(k.states) > 1 && s.since.Sub(k.states[1].since) > maxHistory {
		k.states = k.states[1:]
	}
}

// at returns the state at time t, or the zero state, which is not present, if the history begins later.
func (k *keyHistory) at(t time.Time) keyState {
	for _, s := range slices.Backward(k.states) {
		if !s.since.After(t) {
			return s
		}
	}
	return keyState{}
}

// current returns the current state of a key. The caller holds the lock.
func (p *Platform) current(key string) keyState {
	if k := p.keys[key]; k != nil {
		return k.last()
	}
	return keyState{}
}

func (s keyState) entry(key string) platform.Entry {
	return platform.Entry{Key: key, Value: slices.Clone(s.value), Version: s.version, ModifiedAt: s.since}
}
