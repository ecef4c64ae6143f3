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
	TakeQuota(ctx context.Context, address string, t peer.QuotaTake) (peer.QuotaAdmitted, error)
	SettleQuota(ctx context.Context, address string, s peer.QuotaSettle) (peer.QuotaSettled, error)
	ConfirmQuota(ctx context.Context, address string, q peer.QuotaConfirm) (quota.Confirmation, error)
}

// Config holds the location and the dependencies of a Keeper.
type Config struct {
	Self      model.Member
	Region    model.Region
	Zones     []model.ZoneSpec
	Allowance quota.Allowance
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
	// maxWorkers limits the number of settlements and confirmations in progress. One occupies a worker for a round trip, or for its
	// timeout if the other daemon does not respond.
	maxWorkers = 256
	// maxJobs is the number of settlements and confirmations that may wait for a worker. Those beyond it are tried again later.
	maxJobs = 16384
)

// Keeper keeps the quotas of workspaces. It is safe for concurrent use.
type Keeper struct {
	cfg       Config
	table     *tables.Quotas
	overdraft int
	validity  time.Duration

	jobs    chan func()
	workers *pool.Pool
	// closed ends the workers' waiting for jobs.
	closed chan struct{}
	// weight is the part of the quotas that this daemon could grant at the last tick; only the tick uses it.
	weight float64
}

// New returns a running Keeper. Close stops it.
func New(cfg Config) *Keeper {
	regions := map[model.Region]bool{}
	var region []model.AvailabilityZone
	for _, z := range cfg.Zones {
		regions[z.Region] = true
		if z.Region == cfg.Region {
			region = append(region, z.Name)
		}
	}
	k := &Keeper{
		cfg: cfg, table: tables.NewQuotas(cfg.Self, region, cfg.Now()), validity: cfg.Allowance.GrantValidity(),
		jobs: make(chan func(), maxJobs), closed: make(chan struct{}),
	}
	k.overdraft = cfg.Allowance.Overdraft(len(regions))
	k.workers = pool.Start(maxWorkers, k.nextJob)
	if cfg.Peers == nil {
		k.SetMembers([]model.Member{cfg.Self})
	}
	k.tick()
	k.confirmAll()
	return k
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

// run lets a worker run the job, and reports whether the queue had room for it.
func (k *Keeper) run(job func()) bool {
	select {
	case k.jobs <- job:
		return true
	default:
		return false
	}
}

// SetMembers replaces the members of the fleet, those to be avoided included.
func (k *Keeper) SetMembers(members []model.Member) {
	k.table.SetMembers(quota.Eligible(members), k.cfg.Now())
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

// refusal returns the decision on a request that is refused since there is no token for the time empty.
func refusal(by string, empty time.Duration) quota.Decision {
	return quota.Decision{Outcome: quota.Refused, RetryAfter: retryAfter(empty), DecidedBy: by}
}

// retryAfter spreads the times at which refused callers return.
func retryAfter(empty time.Duration) time.Duration {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // only spreads the retries of callers
	return quota.RetryAfter(empty, rnd)
}
