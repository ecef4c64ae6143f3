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

// maxHistory is how long replaced values and lists are kept for stale reads.
const maxHistory = 2 * time.Minute

// Faults are the faults in force; the zero value is a healthy platform.
type Faults struct {
	// Down fails every call with platform.ErrUnavailable.
	Down bool
	// Silent answers no call: each ends with its context and has no effect.
	Silent bool
	// LostReplies lets writes take effect and then fails them with platform.ErrUnknown.
	LostReplies bool
	// Delay is added to each call, before it takes effect.
	Delay time.Duration
	// StaleBy is the age of what Get and List show; watches return that much later.
	StaleBy time.Duration
	// ListLag is the age of the list of instances.
	ListLag time.Duration
}

// Platform implements platform.Store and platform.InstanceList. Create it with New.
type Platform struct {
	now func() time.Time

	mu      lockorder.Mutex
	faults  Faults
	keys    map[string]*keyHistory
	leases  map[platform.LeaseID]*lease
	granted int
	// unanswered counts the calls that Faults.Silent held.
	unanswered int
	lists      []listState
	// changed is closed and replaced at every write and every change of the faults.
	changed chan struct{}
}

// keyHistory is a key's states, oldest first; the last one is the present.
type keyHistory struct {
	states []keyState
	// version is the number of writes of the key, deleted or not.
	version platform.Version
}

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

type listState struct {
	since     time.Time
	instances []platform.Instance
}

// New returns an empty platform that reads the time from now; nil stands for time.Now.
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

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.broadcast()
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

// enter applies the faults that come before a call. unheard is the meaning of a call that ended unanswered.
func (p *Platform) enter(ctx context.Context, unheard error) error {
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
	return unanswered(ctx, unheard)
}

func unanswered(ctx context.Context, meaning error) error {
	if ctx.Err() == nil {
		return nil
	}
	return fmt.Errorf("memplatform: %w: %w", meaning, ctx.Err())
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

// broadcast wakes the watches. The caller holds the lock.
func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// expire deletes the keys of leases that have lapsed. The caller holds the lock.
func (p *Platform) expire(now time.Time) {
	for id, l := range p.leases {
		if !now.Before(l.deadline) {
			p.endLease(id, l.deadline)
		}
	}
}

func (p *Platform) endLease(id platform.LeaseID, at time.Time) {
	delete(p.leases, id)
	for _, k := range p.keys {
		if s := k.last(); s.present && s.lease == id {
			k.push(keyState{since: at})
		}
	}
}

func (k *keyHistory) last() keyState { return k.states[len(k.states)-1] }

func (k *keyHistory) push(s keyState) {
	k.states = append(k.states, s)
	for len(k.states) > 1 && s.since.Sub(k.states[1].since) > maxHistory {
		k.states = k.states[1:]
	}
}

// at returns the key's state at a time; the zero state, which is not present, if it did not exist.
func (k *keyHistory) at(t time.Time) keyState {
	for _, s := range slices.Backward(k.states) {
		if !s.since.After(t) {
			return s
		}
	}
	return keyState{}
}

// current returns the key's present state. The caller holds the lock.
func (p *Platform) current(key string) keyState {
	if k := p.keys[key]; k != nil {
		return k.last()
	}
	return keyState{}
}

func (s keyState) entry(key string) platform.Entry {
	return platform.Entry{Key: key, Value: slices.Clone(s.value), Version: s.version, ModifiedAt: s.since}
}
