package backendserver

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin"
)

// maxCachedContents bounds the number of contents whose items are cached.
const maxCachedContents = 8

// heldShard is a shard under the shard map of one epoch.
type heldShard struct {
	shard model.ShardName
	epoch model.ShardMapEpoch
}

// state is the shared table of the active faults and of the shards and index versions that the server holds.
type state struct {
	mu     lockorder.Mutex
	cfg    Config
	faults Faults
	// heldShards lists the current shard and those retained from earlier shard maps, newest first.
	heldShards []heldShard
	// versions lists the current index version and the retained ones, newest first.
	versions []model.IndexVersion
	// cachedItems holds all items of the requested contents in order, by content without the text.
	cachedItems map[Content][]model.Item
	coldUntil   time.Time
	rnd         *rand.Rand
	// lastAttempt is the attempt answered last. A crossed reply carries its ID.
	lastAttempt  backend.AttemptID
	frozenHealth backend.Health
	frozenLoad   backend.Load
}

func newState(cfg Config) *state {
	return &state{
		mu:          lockorder.New(standin.OrderBackendState),
		cfg:         cfg,
		heldShards:  []heldShard{{shard: cfg.Shard, epoch: cfg.Epoch}},
		versions:    []model.IndexVersion{cfg.Version},
		cachedItems: map[Content][]model.Item{},
		coldUntil:   time.Now().Add(cfg.ColdFor),
		rnd:         rand.New(rand.NewPCG(cfg.Seed, 1)), //nolint:gosec // the choice of faults needs no secure random numbers
	}
}

func (s *state) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// update applies a change of the faults. If the change freezes the reports, load is the load to report from then on.
func (s *state) update(change func(*Faults), load backend.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasFrozen := s.faults.FrozenReports
	change(&s.faults)
	if s.faults.FrozenReports && !wasFrozen {
		s.frozenHealth = backend.Health{Serving: true, Draining: s.faults.Draining}
		s.frozenLoad = load
		s.frozenLoad.Draining = s.faults.Draining
	}
}

// resolve returns the shard and the index version from which a query is answered, and the versions that the server
// retains. An unknown epoch resolves to the newest held shard of that name, want 0 to the current version. ok is false if
// the server does not hold the shard or the version.
func (s *state) resolve(shard model.ShardName, epoch model.ShardMapEpoch, want model.IndexVersion) (
	held heldShard, v model.IndexVersion, retained []model.IndexVersion, ok bool,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retained = slices.Clone(s.versions)
	i := slices.Index(s.heldShards, heldShard{shard: shard, epoch: epoch})
	if i < 0 {
		i = slices.IndexFunc(s.heldShards, func(h heldShard) bool { return h.shard == shard })
	}
	if i < 0 {
		return heldShard{}, 0, nil, false
	}
	if want == 0 {
		want = s.versions[0]
	}
	return s.heldShards[i], want, retained, slices.Contains(s.versions, want)
}

// items returns the same items as Generate, but does not generate and sort a shard's items for each request.
func (s *state) items(c Content, limit int) []model.Item {
	return topItems(s.sortedItems(Content{Shard: c.Shard, Epoch: c.Epoch, Version: c.Version, Items: c.Items}), c.Text, limit)
}

func (s *state) sortedItems(c Content) []model.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if items, ok := s.cachedItems[c]; ok {
		return items
	}
	if len(s.cachedItems) >= maxCachedContents {
		clear(s.cachedItems)
	}
	s.cachedItems[c] = generateSorted(c)
	return s.cachedItems[c]
}

func (s *state) setVersion(v model.IndexVersion, retain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = pushFront(s.versions, v, retain)
}

func (s *state) repartition(newest heldShard, retain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldShards = pushFront(s.heldShards, newest, retain)
}

// pushFront returns a list of first and the first retain other elements of list.
func pushFront[T comparable](list []T, first T, retain int) []T {
	older := slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x == first })
	return append([]T{first}, older[:min(retain, len(older))]...)
}

// restart makes the server cold for Config.ColdFor.
func (s *state) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(s.cfg.ColdFor)
}

// serviceTime returns a random service time for a request that starts now.
func (s *state) serviceTime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.cfg.ServiceTime) + s.rnd.ExpFloat64()*float64(s.cfg.Spread)
	if s.rnd.Float64() < s.cfg.TailRatio {
		d *= s.cfg.TailFactor
	}
	if s.faults.SlowFactor > 0 {
		d *= s.faults.SlowFactor
	}
	if now.Before(s.coldUntil) {
		d *= s.cfg.ColdFactor
	}
	return time.Duration(d)
}

// drawReplyFault chooses the fault of the reply to an attempt and returns it with the attempt ID that the reply carries,
// which for a crossed reply is that of another attempt.
func (s *state) drawReplyFault(id backend.AttemptID) (replyFault, backend.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.faults.draw(s.rnd.Float64())
	other := s.lastAttempt
	s.lastAttempt = id
	if fault != replyCrossed {
		return fault, id
	}
	if other == (backend.AttemptID{}) || other == id {
		other = id
		other.Attempt++
	}
	return fault, other
}

func (s *state) health() backend.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Health != nil:
		return *s.faults.Health
	case s.faults.FrozenReports:
		return s.frozenHealth
	}
	return backend.Health{Serving: true, Draining: s.faults.Draining}
}

// load returns the load that the server reports if its actual load is the given one.
func (s *state) load(actual backend.Load) backend.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Load != nil:
		return *s.faults.Load
	case s.faults.FrozenReports:
		return s.frozenLoad
	}
	actual.Draining = s.faults.Draining
	return actual
}
