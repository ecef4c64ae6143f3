package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Peers sends messages about quotas to other daemons.
type Peers interface {
	TakeQuota(ctx context.Context, address string, t peer.QuotaTake) (peer.QuotaTaken, error)
}

// Config holds the location and the dependencies of a Keeper.
type Config struct {
	Self      model.Member
	Region    model.Region
	Zones     []model.ZoneSpec
	Allowance quota.Allowance
	// StaleServing is how long a daemon that is cut off from all others may go on serving requests with keys, which the quotas are for; 0
	// if that is not bounded.
	StaleServing time.Duration
	// Routing returns the routing configuration in force, or nil.
	Routing func() *model.Routing
	// Unreachable reports whether a zone is considered unreachable. It must not take locks.
	Unreachable func(model.AvailabilityZone) bool
	// Peers may be nil if there are no other daemons.
	Peers Peers
	// After runs a short function after some time. Functions that have not run when the Keeper is closed are not run any more.
	After func(d time.Duration, f func())
	// Now returns the time of a clock that advances while the machine is suspended.
	Now     func() time.Time
	Metrics *telemetry.Metrics
	Log     zerolog.Logger
}

const (
	// maxWorkers limits the messages that return tokens or open connections at the same time. Each occupies a worker for a round
	// trip, or for returnTimeout if the other daemon does not respond.
	maxWorkers = 16
	// maxJobs is the number of such messages that may wait for a worker. Further ones are dropped, and their tokens count as used.
	maxJobs = 4096
	// tickInterval is the time between the checks for pauses of the process and for idle accounts.
	tickInterval = time.Second
)

// Keeper keeps the quotas of workspaces. It is safe for concurrent use.
type Keeper struct {
	cfg      Config
	table    *tables.Quotas
	validity time.Duration

	jobs    chan func()
	workers *pool.Pool
	// closed ends the workers' waiting for jobs.
	closed chan struct{}
}

// New returns a running Keeper. Close stops it.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, table: tables.NewQuotas(cfg.Self, cfg.joinWait(), cfg.Now()), validity: cfg.Allowance.GrantValidity(),
		jobs: make(chan func(), maxJobs), closed: make(chan struct{}),
	}
	k.workers = pool.Start(maxWorkers, k.nextJob)
	if cfg.Peers == nil {
		k.SetMembers([]model.Member{cfg.Self})
	}
	k.cfg.After(tickInterval, k.tick)
	return k
}

// minJoinWait is how long the members of a zone that reach each other need to hear of a change among them.
const minJoinWait = time.Second

// joinWait returns how long after a change of a zone's members a previous owner may grant tokens that are used. One that is cut off takes
// a token for a request that it has just accepted, in at most two rounds of messages.
func (c *Config) joinWait() time.Duration {
	if c.StaleServing == 0 {
		return minJoinWait
	}
	return max(minJoinWait, c.StaleServing+2*c.Allowance.GrantValidity())
}

// Close ends the workers. Messages in progress are waited for.
func (k *Keeper) Close() {
	close(k.closed)
	k.workers.Wait()
}

func (k *Keeper) nextJob() (func(), bool) {
	select {
	case <-k.closed:
		return nil, false
	case job := <-k.jobs:
		return job, true
	}
}

// run lets a worker run the job, unless too many wait already.
func (k *Keeper) run(job func()) {
	select {
	case k.jobs <- job:
	default:
	}
}

// tick checks for a pause of the process and removes idle accounts, now and every tickInterval.
func (k *Keeper) tick() {
	now := k.cfg.Now()
	if k.table.Tick(now) {
		k.cfg.Log.Warn().Msg("quota_paused")
	}
	k.table.RemoveIdle(now)
	k.cfg.After(tickInterval, k.tick)
}

// SetMembers replaces the members of the fleet. A daemon that is not among them owns nothing: others may not know it, and two daemons
// would grant the same part.
func (k *Keeper) SetMembers(members []model.Member) {
	owners := quota.Owners(members)
	k.table.SetMembers(owners, k.cfg.Now())
	k.preconnect(owners[k.cfg.Self.Zone])
}

// preconnect opens connections to the possible owners in this zone ahead of use. Without it, the first requests wait for them.
func (k *Keeper) preconnect(owners []model.Member) {
	for _, m := range owners {
		if m.Instance == k.cfg.Self.Instance || k.cfg.Peers == nil {
			continue
		}
		k.run(func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			// A failed call is repeated when there is something to ask for.
			_, _ = k.cfg.Peers.TakeQuota(ctx, m.Address, peer.QuotaTake{})
		})
	}
}

// BootClock returns the time since the machine was booted, which also advances while it is suspended, as a time. It has no relation
// to the time of day.
func BootClock() time.Time { return time.Unix(0, int64(boottime.Now())) }

// limitOf returns the quota of the workspace in the configuration in force, and the configuration's version.
func (k *Keeper) limitOf(workspace model.WorkspaceName) (model.Quota, model.RoutingVersion) {
	r := k.cfg.Routing()
	if r == nil {
		return model.Quota{}, 0
	}
	w := r.Workspace(workspace)
	if w == nil {
		return model.Quota{}, r.Version
	}
	return w.Quota, r.Version
}

// partOf returns the part of a quota that belongs to this daemon's zone, by how long this daemon has owned it.
func (k *Keeper) partOf(limit model.Quota) func(age time.Duration) quota.Part {
	return func(age time.Duration) quota.Part { return k.cfg.Allowance.ZonePart(limit, len(k.cfg.Zones), age) }
}

// retryAfter spreads the times at which refused callers return.
func retryAfter(empty time.Duration) time.Duration {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // only spreads the retries of callers
	return quota.RetryAfter(empty, rnd)
}
