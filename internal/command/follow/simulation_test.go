package follow_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/follow"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

// platformBounds are the time limits of a platform; they differ between platforms.
type platformBounds struct {
	// configApply is the time within which a new version must be in force. drain is the time after which a server that left
	// must get no more requests.
	configApply, drain time.Duration
	// settled is how long a daemon must have been without a disturbance before the limits apply to it.
	settled time.Duration
	// revocation is the time after which a removed key must not be accepted; 0 means that there is no such bound.
	revocation time.Duration
}

// maxRestarts limits the restarts of a daemon in a budget window, since a restart resets the daemon's record
// of the extra attempts it sent.
const maxRestarts = 2

const checkInterval = 200 * time.Millisecond

var budgetRule = budget.FleetRule{Ratio: 0.2, Slack: 56, Span: 10 * time.Second}

const service model.ServiceName = "s"

// step is one event of a simulation run, followed by a pause.
type step struct {
	kind   int
	target int
	pause  time.Duration
}

// The kinds of steps.
const (
	stepConfigure = iota
	stepRegister
	stepDrain
	stepRemove
	stepFault
	stepFaultAll
	stepHeal
	stepPartition
	stepSilence
	stepSilenceAll
	stepKill
	stepStop
	stepCompact
	stepRestore
	stepKinds
	// The kinds from here on occur in tests of revocation only.
	stepRemoveKey = iota - 1
	stepRestoreKey
	stepPause
	stepResume
	stepSlowStore
	revocationStepKinds
)

// simulation is a fleet of daemons on a virtual clock.
type simulation struct {
	bounds platformBounds
	store  *memoryStore
	// earlierVersions makes the daemons answer each other like those of versions that know of no acknowledged configurations.
	earlierVersions bool
	// mu guards daemons, which the goroutines of all followers read.
	mu      sync.Mutex
	daemons []*daemon
	// version is the last version written. writtenAt holds the time at which each version was written, leftAt the time at which
	// a server was last drained or removed, and joinedAt the time at which it was last registered.
	version   model.RoutingVersion
	writtenAt map[model.RoutingVersion]time.Time
	leftAt    map[model.ServerName]time.Time
	joinedAt  map[model.ServerName]time.Time
	// extraAttempts and requests hold the times of extra attempts and of requests of the whole fleet.
	extraAttempts, requests []time.Time
	// restarts holds the times at which each daemon was restarted.
	restarts map[int][]time.Time
	keys     keyState
	// storeDelay is added to each reply of the store, in nanoseconds, and storeCalls counts the reads.
	storeDelay atomic.Int64
	storeCalls atomic.Int64
	violation  string
	// repeats holds the writes that a restore lost and that are still to be repeated.
	repeats []repeat
	// routing is the configuration of version, and entries what each server wrote last, or nil if its entry was removed.
	routing *model.Routing
	entries map[model.ServerName]*model.Registration
	// sequence counts the entries that servers wrote. starts counts the restarts of each server, and announcedLeave says whether its last run
	// has announced that it leaves.
	sequence       model.EntrySequence
	starts         map[model.ServerName]int64
	announcedLeave map[model.ServerName]bool
}

// daemon is the control state of a daemon from its start to its end.
type daemon struct {
	index    int
	sim      *simulation
	client   *storeClient
	follower *follow.Follower
	registry *tables.Registry
	config   *tables.Config
	budgets  *tables.ServiceBudgets
	alive    atomic.Bool
	// partitioned is set while this daemon and the others cannot reach each other.
	partitioned atomic.Bool
	// silences counts how often the daemon's connections fell silent.
	silences atomic.Int64
	// connected holds, for each daemon that this one has called, the counts of both daemons when their connection was opened.
	connected sync.Map
	// lastDisturbed is when the daemon was started, its access to the store last changed, or the store was last compacted.
	lastDisturbed time.Time
	lastVersion   model.RoutingVersion
	// sequences holds the sequence of each server's entry that was seen last.
	sequences map[model.ServerName]model.EntrySequence
	paused    pauseState
	// suspended is for how long the daemon's machine was suspended, in nanoseconds.
	suspended atomic.Int64
}

func member(index int) model.Member {
	return model.Member{
		Instance: model.InstanceID(fmt.Sprintf("d%d", index)), Address: fmt.Sprint(index),
		Zone: model.AvailabilityZone(fmt.Sprintf("z%d", index%2)),
	}
}

// start starts a daemon with empty state.
func (sim *simulation) start(index int) {
	d := &daemon{
		index: index, sim: sim, client: newStoreClient(sim.store), registry: tables.NewRegistry(sim.bounds.drain),
		config: tables.NewConfig(), budgets: tables.NewServiceBudgets(budgetRule, 16, time.Now()), lastDisturbed: time.Now(),
	}
	d.alive.Store(true)
	d.follower = follow.New(follow.Deps{
		Reader: reader{storeClient: d.client, d: d}, BootTime: d.bootTime, Announcer: d.client, Peers: d,
		Seeds: []string{"0", "1"}, Self: member(index),
		Zones:    []model.ZoneSpec{{Name: "z0", Region: "r"}, {Name: "z1", Region: "r"}},
		Registry: d.registry, Config: d.config, Servers: tables.NewServers(), Log: zerolog.Nop(),
		Freshness: gossip.NewFreshness(min(sim.bounds.configApply, sim.bounds.drain)).
			WithRevocation(sim.bounds.revocation),
		ApplyTopology: func(*model.Topology, time.Time) {},
		DaemonsChanged: func(ms []model.Member, announced bool) {
			if announced {
				d.budgets.SetDaemons(len(ms), time.Now())
			}
		},
	})
	sim.mu.Lock()
	sim.daemons[index] = d
	sim.mu.Unlock()
	d.follower.Start()
}

// daemonAt returns the daemon with the given peer address, or nil.
func (sim *simulation) daemonAt(address string) *daemon {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, d := range sim.daemons {
		if d != nil && fmt.Sprint(d.index) == address {
			return d
		}
	}
	return nil
}

// Registry implements follow.Peers.
func (d *daemon) Registry(
	ctx context.Context, address string, at gossip.Position, leaving []model.LeavingServer, wait time.Duration,
) (registry.PeerUpdate, error) {
	other := d.sim.daemonAt(address)
	if other == nil || !other.alive.Load() {
		return registry.PeerUpdate{}, errRefused
	}
	begin := d.bootTime()
	req := peer.NewRegistryRequest(at, leaving, wait, time.Now(), begin)
	d.paused.await(context.Background())
	var reply peer.RegistryReply
	conn := d.connectTo(other)
	if d.delivers(other, conn) {
		reply = other.answer(ctx, &req)
	}
	// A partition or a silence that begins during the wait loses the reply too, and so does a daemon that ends meanwhile.
	if !d.delivers(other, conn) {
		<-ctx.Done()
		d.connected.Delete(address)
		return registry.PeerUpdate{}, ctx.Err()
	}
	if !other.alive.Load() {
		return registry.PeerUpdate{}, errRefused
	}
	err := ctx.Err()
	d.paused.await(context.Background())
	return reply.PeerUpdate(time.Now(), begin, d.bootTime()), err
}

// connection identifies a connection between two daemons by their silences when it was opened.
type connection struct{ from, to int64 }

// connectTo returns the kept connection to another daemon, or else a new one.
func (d *daemon) connectTo(other *daemon) connection {
	opened := connection{from: d.silences.Load(), to: other.silences.Load()}
	kept, _ := d.connected.LoadOrStore(fmt.Sprint(other.index), opened)
	return kept.(connection)
}

// delivers reports whether messages between two daemons arrive on a connection.
func (d *daemon) delivers(other *daemon, c connection) bool {
	silent := c.from != d.silences.Load() || c.to != other.silences.Load()
	return !silent && !d.partitioned.Load() && !other.partitioned.Load()
}

// silence makes all open connections of the daemon silent. New ones work.
func (d *daemon) silence() {
	d.silences.Add(1)
	d.client.silence()
	d.lastDisturbed = time.Now()
}

// shutDown stops a daemon. Unless it is graceful, the daemon's entry stays in the store until it expires.
func (d *daemon) shutDown(graceful bool) {
	if !graceful {
		d.client.setFault(storeRefusing)
	}
	d.alive.Store(false)
	d.paused.end()
	d.follower.Close()
}

func (sim *simulation) configure() {
	sim.version += 2
	services := []model.BackendService{{Name: service, HealthPath: "/", MaxConnections: 26}}
	sim.routing = sim.keys.addTo(model.NewRouting(sim.version, nil, services, model.CallerLimits{}))
	sim.writeRouting()
}

func (sim *simulation) writeRouting() {
	sim.store.configure(sim.routing)
	if _, ok := sim.writtenAt[sim.version]; !ok {
		sim.writtenAt[sim.version] = time.Now()
	}
}

func (sim *simulation) perform(s step) {
	d := sim.daemons[s.target%len(sim.daemons)]
	name := model.ServerName(fmt.Sprintf("i%d", s.target))
	switch s.kind {
	case stepConfigure:
		sim.configure()
	case stepRegister:
		sim.register(name, false)
	case stepDrain:
		sim.register(name, true)
	case stepRemove:
		sim.remove(name)
	case stepFault:
		d.disturb(storeFault(1 + s.target%3))
	case stepFaultAll:
		for _, d := range sim.daemons {
			d.disturb(storeFault(1 + s.target%3))
		}
	case stepHeal:
		sim.storeDelay.Store(0)
		for _, d := range sim.daemons {
			sim.resume(d)
			d.partitioned.Store(false)
			if f, _ := d.client.currentFault(); f != storeHealthy {
				d.disturb(storeHealthy)
			}
		}
	case stepPartition:
		d.partitioned.Store(true)
	case stepSilence:
		d.silence()
	case stepSilenceAll:
		for _, d := range sim.daemons {
			d.silence()
		}
	case stepKill, stepStop:
		if now := time.Now(); countInWindow(sim.restarts[d.index], now) < maxRestarts {
			sim.restarts[d.index] = append(sim.restarts[d.index], now)
			d.shutDown(s.kind == stepStop)
			sim.start(d.index)
		}
	case stepCompact:
		sim.store.compact()
		for _, d := range sim.daemons {
			d.lastDisturbed = time.Now()
		}
	case stepRestore:
		sim.restore(time.Duration(s.target)*time.Second/2, s.target%2 == 0)
	default:
		sim.performRevocation(s.kind, d)
	}
}

func (d *daemon) disturb(f storeFault) {
	d.client.setFault(f)
	d.lastDisturbed = time.Now()
}

// newSimulation starts a fleet with a configuration and a server.
func newSimulation(daemonCount int, bounds platformBounds) *simulation {
	sim := &simulation{
		bounds: bounds,
		store:  newMemoryStore(), daemons: make([]*daemon, daemonCount), writtenAt: map[model.RoutingVersion]time.Time{},
		leftAt: map[model.ServerName]time.Time{}, joinedAt: map[model.ServerName]time.Time{},
		restarts: map[int][]time.Time{}, entries: map[model.ServerName]*model.Registration{},
		starts: map[model.ServerName]int64{}, announcedLeave: map[model.ServerName]bool{},
	}
	sim.configure()
	sim.register("i0", false)
	for i := range daemonCount {
		sim.start(i)
	}
	return sim
}

// advance lets the fleet run for a time and checks the limits.
func (sim *simulation) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && sim.violation == ""; {
		time.Sleep(checkInterval)
		sim.store.expire(time.Now())
		sim.repeatLost(time.Now())
		sim.check(time.Now())
	}
	synctest.Wait()
}

// close stops all daemons.
func (sim *simulation) close() {
	for _, d := range sim.daemons {
		d.shutDown(true)
	}
}

// run performs the steps on a new fleet and returns a violation of a limit, or "" if there was none.
func run(steps []step, daemonCount int, bounds platformBounds) string {
	sim := newSimulation(daemonCount, bounds)
	for _, s := range append(steps, step{kind: stepHeal, pause: 2 * bounds.settled}) {
		sim.perform(s)
		sim.advance(s.pause)
	}
	sim.close()
	if sim.violation == "" {
		sim.checkBudget()
	}
	return sim.violation
}
