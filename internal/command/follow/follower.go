package follow

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// minBackoff and maxBackoff bound the base of the delay after a failed call. The delay is drawn from half to one and a half
	// times the base.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// backoffPerDaemon and maxFollowerBackoff let the base grow with the fleet in daemons that no others follow.
	backoffPerDaemon   = 30 * time.Millisecond
	maxFollowerBackoff = 4 * time.Second
)

// Peers calls other daemons.
type Peers interface {
	// Registry tells the daemon at address the given servers that leave, and returns what that daemon has and a caller at the
	// given position lacks. The daemon replies as soon as there is something, and after wait at the latest.
	Registry(ctx context.Context, address string, at gossip.Position, leaving []model.LeavingServer, wait time.Duration) (
		registry.PeerUpdate, error)
}

// Deps are the dependencies and settings of a Follower.
type Deps struct {
	Reader    registry.Reader
	Announcer registry.Announcer
	// Peers may be nil; the Follower then gets data from the store only.
	Peers Peers
	// Seeds are the addresses of daemons to call while no other daemon is known.
	Seeds []string
	// Self is the daemon's own entry.
	Self     model.Member
	Zones    []model.ZoneSpec
	Rules    model.Rules
	Registry *tables.Registry
	Config   *tables.Config
	// Servers holds the records of the servers that are in use.
	Servers *tables.Servers
	// Freshness limits the age of the data from the store.
	Freshness gossip.Freshness
	// BootTime is the clock of verified ages; nil means boottime.Now.
	BootTime func() boottime.Time
	// ApplyTopology is called with every Topology before it is installed.
	ApplyTopology func(*model.Topology, time.Time)
	// DaemonsChanged is called with the running daemons, sorted by instance, when they changed. announced reports whether this
	// daemon is among them; if it is not, other daemons without an entry may be missing too.
	DaemonsChanged func(members []model.Member, announced bool)
	Log            zerolog.Logger
}

// Follower keeps the configuration and the known servers up to date with the store. Create it with New, start it with Start
// and stop it with Close.
type Follower struct {
	deps Deps
	stop context.CancelFunc
	wg   sync.WaitGroup
	// changed signals runInstalls that the table may have changed; it holds at most one signal.
	changed chan struct{}
	// eraChanged signals runAnnouncements that the store's era may have risen; it holds at most one signal.
	eraChanged chan struct{}
}

// New returns a Follower that reads nothing before Start.
func New(deps Deps) *Follower {
	if deps.BootTime == nil {
		deps.BootTime = boottime.Now
	}
	return &Follower{deps: deps, changed: make(chan struct{}, 1), eraChanged: make(chan struct{}, 1)}
}

// Start starts the goroutines of the Follower.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.wg.Go(func() { f.runStoreReads(ctx) })
	f.wg.Go(func() { f.runInstalls(ctx) })
	f.wg.Go(func() { f.runAnnouncements(ctx) })
}

// Close stops the goroutines, withdraws the daemon's own entry and returns when both are done.
func (f *Follower) Close() {
	f.stop()
	f.wg.Wait()
}

// The sources of an update, as logged.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// applyUpdate applies an update that was read from the store at readAt, logs the changes, and reports whether the update
// changed anything.
func (f *Follower) applyUpdate(u *registry.Update, source string, readAt time.Time) bool {
	changed := f.applyWithoutInstall(u, source, readAt)
	f.signalApplied(u, changed)
	return changed
}

// applyWithoutInstall is like applyUpdate, but leaves it to the caller to call signalApplied, before which nothing is put in force.
func (f *Follower) applyWithoutInstall(u *registry.Update, source string, readAt time.Time) bool {
	c := f.deps.Registry.Apply(u, readAt, time.Now())
	log := f.deps.Log.With().Str("source", source).Uint64("store_revision", uint64(u.Revision)).Logger()
	if c.RestoredAfter != nil {
		logRestored(&log, u, c.RestoredAfter)
	}
	for _, p := range u.Problems {
		logProblem(&log, p)
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
	f.logEvacuations(&log, c.Evacuations)
	return c.AffectsTopology()
}

// signalApplied wakes the goroutines that act on an update that was applied. changed reports whether it affects the Topology.
func (f *Follower) signalApplied(u *registry.Update, changed bool) {
	if changed || u.Complete || hasRemovedServer(u) {
		signal(f.changed)
	}
	if u.Complete {
		signal(f.eraChanged)
	}
}

func hasRemovedServer(u *registry.Update) bool {
	for i := range u.Servers {
		if u.Servers[i].State == registry.EntryRemoved {
			return true
		}
	}
	return false
}

func logProblem(log *zerolog.Logger, p registry.Problem) {
	event := log.Warn().Str("key", p.Key).Str("reason", p.Reason)
	if p.Place == "" {
		event.Msg("entry_unreadable")
		return
	}
	event.Str("place", p.Place).Msg("entry_partly_ignored")
}

func logServer(log *zerolog.Logger, e *registry.ServerEntry) {
	event := log.Info().Str("server", string(e.Name)).Uint64("entry_revision", uint64(e.Revision))
	switch e.State {
	case registry.EntryPresent:
		r := &e.Registration
		event.Str("service", string(r.Service)).Str("address", r.Address).Bool("leaving", r.Leaving).Msg("server_registered")
	case registry.EntryRemoved:
		event.Msg("server_left")
	case registry.EntryUnreadable:
		event.Msg("server_entry_unreadable")
	}
}

// signal sends a signal on a channel that holds at most one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
