package configure_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
)

// fault is how one call of the store fails.
type fault int

const (
	ok          fault = iota
	unavailable       // the call has no effect, and the caller gets an error that states this
	lostRequest       // the call has no effect, and the caller gets no reply
	lostReply         // the call takes effect, and the caller gets no reply
	delayed           // the caller gets no reply, and the call takes effect at the next applyPending
	stale             // a read returns the entry as it was before the last write of the key
)

// faultyStore is an in-memory platform.Store that injects faults into its calls.
type faultyStore struct {
	mu      sync.Mutex
	entries map[string][]platform.Entry
	pending []func()
	// faultOf chooses the fault of a call; nil means none. It is called with the lock held.
	faultOf func(op, key string) fault
	// writes lists the writes that took effect, as operation and key.
	writes []string
	leases int
}

func newFaultyStore() *faultyStore { return &faultyStore{entries: map[string][]platform.Entry{}} }

func (s *faultyStore) fault(op, key string) fault {
	if s.faultOf == nil {
		return ok
	}
	return s.faultOf(op, key)
}

// applyPending lets delayed writes take effect.
func (s *faultyStore) applyPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.pending {
		write()
	}
	s.pending = nil
}

func (s *faultyStore) last(key string) platform.Entry {
	history := s.entries[key]
	if len(history) == 0 {
		return platform.Entry{Key: key}
	}
	return history[len(history)-1]
}

func (s *faultyStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.entries[key]
	switch s.fault("get", key) {
	case unavailable, lostRequest, lostReply, delayed:
		return platform.Entry{}, platform.ErrUnavailable
	case stale:
		history = history[:max(0, len(history)-1)]
	case ok:
	}
	if len(history) == 0 || history[len(history)-1].Version == 0 {
		return platform.Entry{}, platform.ErrNotFound
	}
	return history[len(history)-1], nil
}

func (s *faultyStore) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault("list", prefix) != ok {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Entry
	for key := range s.entries {
		if e := s.last(key); strings.HasPrefix(key, prefix) && e.Version > 0 {
			e.Value = nil
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (s *faultyStore) Watch(context.Context, string, platform.Version, time.Duration) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrUnavailable
}

func (s *faultyStore) Put(
	_ context.Context, key string, value []byte, expect platform.Version, _ platform.LeaseID,
) (platform.Version, error) {
	value = slices.Clone(value)
	return s.write("put", key, expect, func() platform.Entry {
		return platform.Entry{Key: key, Value: value, Version: expect + 1, ModifiedAt: time.Now()}
	})
}

func (s *faultyStore) Delete(_ context.Context, key string, expect platform.Version) error {
	_, err := s.write("delete", key, expect, func() platform.Entry { return platform.Entry{Key: key} })
	return err
}

// write replaces an entry by compare-and-swap; a delayed write compares when it takes effect.
func (s *faultyStore) write(op, key string, expect platform.Version, next func() platform.Entry) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply := func() (platform.Version, error) {
		if s.last(key).Version != expect {
			return 0, platform.ErrConflict
		}
		e := next()
		s.entries[key] = append(s.entries[key], e)
		s.writes = append(s.writes, op+" "+key)
		return e.Version, nil
	}
	switch s.fault(op, key) {
	case unavailable:
		return 0, platform.ErrUnavailable
	case lostRequest:
		return 0, platform.ErrUnknown
	case lostReply:
		_, _ = apply()
		return 0, platform.ErrUnknown
	case delayed:
		s.pending = append(s.pending, func() { _, _ = apply() })
		return 0, platform.ErrUnknown
	case ok, stale:
	}
	return apply()
}

func (s *faultyStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return "lease", nil
}

func (s *faultyStore) Renew(context.Context, platform.LeaseID) error { return nil }

// Revoke deletes the collector's key, the only one that these tests attach to a lease.
func (s *faultyStore) Revoke(context.Context, platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries["config/collector"] = nil
	return nil
}
