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

// maxRanked bounds the contents whose items are kept.
const maxRanked = 8

// holding is a shard of one shard map.
type holding struct {
	shard model.ShardName
	epoch model.ShardMapEpoch
}

// state is the table of the faults in force and of what the server holds.
type state struct {
	mu     lockorder.Mutex
	cfg    Config
	faults Faults
	// holdings are the current shard and those retained from earlier shard maps, newest first.
	holdings []holding
	// versions are the current index version and the retained ones, newest first.
	versions []model.IndexVersion
	// ranked are the items of the contents that were asked for, by content without its text.
	ranked    map[Content][]model.Item
	coldUntil time.Time
	rnd       *rand.Rand
	// lastAttempt is the attempt answered last, which a crossed reply echoes.
	lastAttempt  backend.AttemptID
	frozenHealth backend.Health
	frozenLoad   backend.Load
}

func newState(cfg Config) *state {
	return &state{
		mu:        lockorder.New(standin.OrderBackendState),
		cfg:       cfg,
		holdings:  []holding{{shard: cfg.Shard, epoch: cfg.Epoch}},
		versions:  []model.IndexVersion{cfg.Version},
		ranked:    map[Content][]model.Item{},
		coldUntil: time.Now().Add(cfg.ColdFor),
		rnd:       rand.New(rand.NewPCG(cfg.Seed, 1)), //nolint:gosec // fault draws need no secrecy
	}
}

func (s *state) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

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

// resolve finds what a query is answered from. ok is false if the server does not hold the shard or the version.
func (s *state) resolve(shard model.ShardName, epoch model.ShardMapEpoch, want model.IndexVersion) (
	h holding, v model.IndexVersion, retained []model.IndexVersion, ok bool,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retained = slices.Clone(s.versions)
	i := slices.Index(s.holdings, holding{shard: shard, epoch: epoch})
	if i < 0 {
		i = slices.IndexFunc(s.holdings, func(h holding) bool { return h.shard == shard })
	}
	if i < 0 {
		return holding{}, 0, nil, false
	}
	if want == 0 {
		want = s.versions[0]
	}
	return s.holdings[i], want, retained, slices.Contains(s.versions, want)
}

// items returns what Generate returns, without generating and sorting a shard's items for each request.
func (s *state) items(c Content, limit int) []model.Item {
	return answer(s.rankedItems(Content{Shard: c.Shard, Epoch: c.Epoch, Version: c.Version, Items: c.Items}), c.Text, limit)
}

func (s *state) rankedItems(c Content) []model.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ranked, ok := s.ranked[c]; ok {
		return ranked
	}
	if len(s.ranked) >= maxRanked {
		clear(s.ranked)
	}
	s.ranked[c] = rank(c)
	return s.ranked[c]
}

func (s *state) setVersion(v model.IndexVersion, retain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = pushFront(s.versions, v, retain)
}

func (s *state) repartition(h holding, retain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings = pushFront(s.holdings, h, retain)
}

func pushFront[T comparable](list []T, first T, retain int) []T {
	older := slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x == first })
	return append([]T{first}, older[:min(retain, len(older))]...)
}

func (s *state) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(s.cfg.ColdFor)
}

// serviceTime draws how long a request holds its slot.
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

// drawReply picks the fault of the reply to an attempt and the attempt that the reply is to name.
func (s *state) drawReply(id backend.AttemptID) (replyFault, backend.AttemptID) {
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

// load returns the report for the server's true load.
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
