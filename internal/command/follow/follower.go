package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// watchWait is how long a watch waits for a change. A silent connection is found after it and replyBound, within the
	// time that a change may take to be in force.
	watchWait = 2500 * time.Millisecond
	// replyBound is the time that the store may take to answer a call, beyond the wait of a watch.
	replyBound = 900 * time.Millisecond
	// shortestChangePause and longestChangePause bound the time between a change and the next watch. Changes that come
	// together then cost one call; the longest leaves time for a change to be in force.
	shortestChangePause = 250 * time.Millisecond
	longestChangePause  = 700 * time.Millisecond
	// changePausePerDaemon lets the pause grow with the fleet, whose calls the store's rates do not grow with.
	changePausePerDaemon = 30 * time.Millisecond
	// recoveryWait is the wait of the watch that follows calls that failed, which shows soon whether the store serves again.
	recoveryWait = 100 * time.Millisecond
	// firstPause and longestPause bound the time between calls that fail.
	firstPause   = 60 * time.Millisecond
	longestPause = 700 * time.Millisecond
)

// Peers asks other daemons.
type Peers interface {
	// Registry returns what a daemon last heard from the store, as a complete update.
	Registry(ctx context.Context, address string) (registry.Update, error)
}

// Deps are what a Follower works on.
type Deps struct {
	Reader    registry.Reader
	Announcer registry.Announcer
	// Peers may be nil, with which a daemon that starts while the store is away waits for it.
	Peers Peers
	// Seeds are the addresses of daemons to ask at start.
	Seeds []string
	// Self is the daemon's own entry.
	Self     model.Member
	Zones    []model.ZoneSpec
	Rules    model.Rules
	Registry *tables.Registry
	Config   *tables.Config
	// Adopt is called with every Topology before it is put in force.
	Adopt func(*model.Topology, time.Time)
	// DaemonsChanged is called with the daemons that run, by instance.
	DaemonsChanged func([]model.Member)
	Log            zerolog.Logger
}

// Follower follows the store. Create it with New, start it with Start, end it with Close.
type Follower struct {
	deps Deps
	stop context.CancelFunc
	wg   sync.WaitGroup
	// changed tells the adopting goroutine that the table changed; it holds at most one signal.
	changed chan struct{}
}

// New returns a follower that reads nothing before Start.
func New(deps Deps) *Follower { return &Follower{deps: deps, changed: make(chan struct{}, 1)} }

// Start starts following.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.wg.Go(func() { f.read(ctx) })
	f.wg.Go(func() { f.adopt(ctx) })
	f.wg.Go(func() { f.announce(ctx) })
}

// Close stops following and withdraws the daemon's own entry.
func (f *Follower) Close() {
	f.stop()
	f.wg.Wait()
}

// reading is the state of the goroutine that reads the store.
type reading struct {
	revision directory.Revision
	// synced tells that a complete read succeeded, so that a watch continues it.
	synced bool
	// lost is when the first of the calls that failed in a row did; zero while they succeed.
	lost  time.Time
	pause time.Duration
}

func (f *Follower) read(ctx context.Context) {
	r := reading{pause: firstPause}
	for ctx.Err() == nil {
		u, err := f.readOnce(ctx, &r)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(ctx, &r, err)
			continue
		}
		f.succeeded(&r)
		if f.take(&u, sourceStore) {
			pool.Pause(ctx, changePause(f.deps.Registry.Daemons()))
		}
		r.revision, r.synced = u.Revision, true
	}
}

// changePause returns the time between a change and the next watch in a fleet of the given number of daemons.
func changePause(daemons int) time.Duration {
	return min(longestChangePause, max(shortestChangePause, time.Duration(daemons)*changePausePerDaemon))
}

func (f *Follower) readOnce(ctx context.Context, r *reading) (registry.Update, error) {
	if !r.synced {
		ctx, cancel := context.WithTimeout(ctx, replyBound)
		defer cancel()
		return f.deps.Reader.Load(ctx)
	}
	wait := watchWait
	if !r.lost.IsZero() {
		wait = recoveryWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replyBound)
	defer cancel()
	return f.deps.Reader.Watch(ctx, r.revision, wait)
}

// failed records that a call failed and waits before the next one.
func (f *Follower) failed(ctx context.Context, r *reading, err error) {
	if errors.Is(err, registry.ErrHistoryLost) {
		f.deps.Log.Warn().Uint64("revision", uint64(r.revision)).Msg("store_history_lost")
		r.synced = false
		return
	}
	if r.lost.IsZero() {
		r.lost = time.Now()
		f.deps.Log.Warn().Err(err).Uint64("revision", uint64(r.revision)).Msg("store_lost")
	}
	if f.deps.Config.Current() == nil {
		f.askPeers(ctx)
	}
	pool.Pause(ctx, r.pause/2+rand.N(r.pause)) //nolint:gosec // spreads calls
	r.pause = min(2*r.pause, longestPause)
}

func (f *Follower) succeeded(r *reading) {
	r.pause = firstPause
	now := time.Now()
	f.deps.Config.StoreContacted(now)
	if r.lost.IsZero() {
		return
	}
	f.deps.Registry.Restored(now)
	f.deps.Log.Info().Dur("away", now.Sub(r.lost)).Msg("store_back")
	r.lost = time.Time{}
}

// The sources of an update, as logged.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// take applies an update, logs what changed in the daemon's belief, and tells whether anything did.
func (f *Follower) take(u *registry.Update, source string) bool {
	now := time.Now()
	c := f.deps.Registry.Apply(u, now)
	log := f.deps.Log.With().Str("source", source).Uint64("store_revision", uint64(u.Revision)).Logger()
	for _, p := range u.Problems {
		log.Warn().Str("key", p.Key).Str("reason", p.Reason).Msg("entry_unreadable")
	}
	if c.Routing != nil {
		log.Info().Uint64("version", uint64(c.Routing.Version)).Int("routes", len(c.Routing.Routes)).Msg("routing_taken")
	}
	if c.Stale != 0 {
		log.Warn().Uint64("version", uint64(c.Stale)).Msg("routing_older_ignored")
	}
	for i := range c.Servers {
		logServer(&log, &c.Servers[i])
	}
	if c.Any() || u.Complete || hasVanished(u) {
		f.signal()
	}
	return c.Any()
}

func hasVanished(u *registry.Update) bool {
	for i := range u.Servers {
		if u.Servers[i].State == registry.EntryVanished {
			return true
		}
	}
	return false
}

func logServer(log *zerolog.Logger, e *registry.ServerEntry) {
	event := log.Info().Str("server", string(e.Name)).Uint64("entry_revision", uint64(e.Revision))
	switch e.State {
	case registry.EntryPresent:
		r := &e.Registration
		event.Str("service", string(r.Service)).Str("address", r.Address).Bool("leaving", r.Leaving).Msg("server_registered")
	case registry.EntryVanished:
		event.Msg("server_left")
	case registry.EntryUnreadable:
		event.Msg("server_entry_unreadable")
	}
}

// askPeers takes the configuration from the first peer that has one.
func (f *Follower) askPeers(ctx context.Context) {
	if f.deps.Peers == nil {
		return
	}
	for _, address := range f.deps.Seeds {
		if address == f.deps.Self.Address {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, peerBound)
		u, err := f.deps.Peers.Registry(ctx, address)
		cancel()
		if err != nil {
			f.deps.Log.Info().Err(err).Str("peer", address).Msg("peer_not_asked")
			continue
		}
		if u.Routing != nil {
			f.take(&u, sourcePeer)
			return
		}
	}
}

// peerBound is the time that a peer may take to answer.
const peerBound = 300 * time.Millisecond

func (f *Follower) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
