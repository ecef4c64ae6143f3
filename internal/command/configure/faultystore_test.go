package configure_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
)

// fault is what happens to one call of the store.
type fault int

const (
	ok          fault = iota
	unavailable       // nothing happens, and the caller knows
	lostRequest       // nothing happens, and the caller does not know
	lostReply         // the call takes effect, and the caller does not know
	delayed           // the caller does not know, and the call takes effect at the next settle
	stale             // a read returns the entry as it was before the last write of the key
)

// faultyStore is an in-memory platform.Store whose calls fail as the plan says.
type faultyStore struct {
	mu      sync.Mutex
	entries map[string][]platform.Entry
	pending []func()
	// plan chooses the fault of a call; nil means none. It is called with the lock held.
	plan   func(op, key string) fault
	writes []string
	leases int
}

func newFaultyStore() *faultyStore { return &faultyStore{entries: map[string][]platform.Entry{}} }

func (s *faultyStore) fault(op, key string) fault {
	if s.plan == nil {
		return ok
	}
	return s.plan(op, key)
}

// settle lets delayed writes take effect.
func (s *faultyStore) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.pending {
		write()
	}
	s.pending = nil
}

func (s *faultyStore) last(key string) platform.Entry {
	h := s.entries[key]
	if len(h) == 0 {
		return platform.Entry{Key: key}
	}
	return h[len(h)-1]
}

func (s *faultyStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.entries[key]
	switch s.fault("get", key) {
	case unavailable, lostRequest, lostReply, delayed:
		return platform.Entry{}, platform.ErrUnavailable
	case stale:
		h = h[:max(0, len(h)-1)]
	case ok:
	}
	if len(h) == 0 || h[len(h)-1].Version == 0 {
		return platform.Entry{}, platform.ErrNotFound
	}
	return h[len(h)-1], nil
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

// write compares and replaces; a delayed write compares when it takes effect.
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

// Revoke deletes the collector's key, the only one that is ever put under a lease here.
func (s *faultyStore) Revoke(context.Context, platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries["config/collector"] = nil
	return nil
}
