package follow

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// recoveryWait is the wait of the watch that follows calls that failed, which shows soon whether the store serves again.
	recoveryWait = 100 * time.Millisecond
	// firstPause and longestPause bound the time between calls that fail.
	firstPause   = 60 * time.Millisecond
	longestPause = 700 * time.Millisecond
)

// Peers asks other daemons.
type Peers interface {
	// Registry asks a daemon what it heard from the store and the caller at the given position lacks. The answer comes as soon
	// as it helps, and after wait at the latest.
	Registry(ctx context.Context, address string, at spread.Position, wait time.Duration) (registry.News, error)
}

// Deps are what a Follower works on.
type Deps struct {
	Reader    registry.Reader
	Announcer registry.Announcer
	// Peers may be nil, with which the daemon hears of the store from the store only.
	Peers Peers
	// Seeds are the addresses of daemons to ask at start.
	Seeds []string
	// Self is the daemon's own entry.
	Self     model.Member
	Zones    []model.ZoneSpec
	Rules    model.Rules
	Registry *tables.Registry
	Config   *tables.Config
	// Freshness says how old what is known of the store may become.
	Freshness spread.Freshness
	// ApplyTopology is called with every Topology before it is put in force.
	ApplyTopology func(*model.Topology, time.Time)
	// DaemonsChanged is called with the daemons that run, by instance. announced tells that this one is among them: another one
	// that was not announced either may be missing.
	DaemonsChanged func(members []model.Member, announced bool)
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

// The sources of an update, as logged.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// take applies an update that was heard from the store at heard, logs what changed in the daemon's belief, and tells whether
// anything did.
func (f *Follower) take(u *registry.Update, source string, heard time.Time) bool {
	c := f.deps.Registry.Apply(u, heard, time.Now())
	log := f.deps.Log.With().Str("source", source).Uint64("store_revision", uint64(u.Revision)).Logger()
	for _, p := range u.Problems {
		log.Warn().Str("key", p.Key).Str("reason", p.Reason).Msg("entry_unreadable")
	}
	if c.Routing != nil {
		log.Info().Uint64("version", uint64(c.Routing.Version)).Int("routes", len(c.Routing.Routes)).Msg("routing_taken")
	}
	if c.StaleRouting != 0 {
		log.Warn().Uint64("version", uint64(c.StaleRouting)).Msg("routing_older_ignored")
	}
	for i := range c.Servers {
		logServer(&log, &c.Servers[i])
	}
	if c.AffectsTopology() || u.Complete || hasVanished(u) {
		f.signal()
	}
	return c.AffectsTopology()
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

func (f *Follower) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
