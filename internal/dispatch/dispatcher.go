package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Observer receives the results of attempts. It is called concurrently and without locks held.
type Observer interface {
	// ObserveAttempt records the result of an attempt. It returns the ratio of the attempt's total time to the server's
	// uncongested latency, or 0 if there was no reply.
	ObserveAttempt(server *tables.Server, result AttemptResult) float64
}

// AttemptResult is the outcome of an attempt as reported to an Observer.
type AttemptResult struct {
	Status backend.Status
	// Latency is the time from sending the attempt to its reply, without Delayed. For a forwarded attempt it includes the time
	// that the attempt was queued at the other daemon, unless its rank is RankDeferred. Total also includes Delayed and all
	// time in queues; for an ExecuteAttempt it equals Latency.
	Latency time.Duration
	Total   time.Duration
	// Delayed is how long the daemon that sent the attempt held the reply back to return it together with others.
	Delayed time.Duration
	Load    backend.Load
	// RetryAfter is how long the server wants no further requests; 0 if it did not say.
	RetryAfter time.Duration
	// Held lists the index versions that the server reported holding; nil if it reported none.
	Held []model.IndexVersion
	// Forwarded is true if another daemon sent the attempt.
	Forwarded bool
}

// Config holds the location, the pool size and the policies of a Dispatcher.
type Config struct {
	Zone   model.AvailabilityZone
	Region model.Region
	// Workers is the number of workers in the pool of each rank.
	Workers int
	// Policy is the policy for replica selection and in-flight limits.
	Policy model.Policy
	// Metrics counts requests, extra attempts, refusals and cancellations; if nil, nothing is counted.
	Metrics *telemetry.Metrics
	// OnZoneChange, if set, is called when a zone becomes unreachable and when it is reachable again. It must not block.
	OnZoneChange func(zone model.AvailabilityZone, unreachable bool)
	// ServiceBudgets limits the extra attempts of routes; nil if there are no routes.
	ServiceBudgets *tables.ServiceBudgets
	// Seed seeds the dispatcher's random sources, which makes replica selection reproducible.
	Seed uint64
}

// Dispatcher admits requests and sends attempts for queries and commands. Create it with New and stop it with Close.
type Dispatcher struct {
	cfg        Config
	Config     *tables.Config
	Servers    *tables.Servers
	Budgets    *tables.Budgets
	Admissions *tables.Admissions
	// ServiceBudgets limits the extra attempts of routes, and Splits distributes the requests of weighted routes.
	ServiceBudgets *tables.ServiceBudgets
	Splits         *tables.Splits
	// AnswerLag records how long this daemon takes to write answers that combine many shards.
	AnswerLag *tables.AnswerLag
	// DelegationLag records how much longer an answer takes that another daemon gathers, beside the gathering.
	DelegationLag *tables.AnswerLag
	Timer         *pool.Timer

	ready    *tables.ReadyAttempts
	pools    []*pool.Pool
	observer Observer
	// forwarding is nil if this daemon sends all attempts itself.
	forwarding *Forwarding
	rollouts   *tables.Rollouts
	zones      *tables.Zones
	// draining is closed by Drain.
	draining  chan struct{}
	drainOnce sync.Once
	// randStreams counts the random sources that Rand has returned.
	randStreams atomic.Uint64
}

// New returns a running Dispatcher that uses the given tables.
func New(cfg Config, config *tables.Config, servers *tables.Servers, observer Observer) *Dispatcher {
	d := &Dispatcher{
		cfg:        cfg,
		Config:     config,
		Servers:    servers,
		Budgets:    tables.NewBudgets(model.Rules{}, time.Now()),
		Admissions: tables.NewAdmissions(),

		ServiceBudgets: cfg.ServiceBudgets,
		Splits:         tables.NewSplits(),
		AnswerLag:      tables.NewAnswerLag(),
		DelegationLag:  tables.NewAnswerLag(),
		Timer:          pool.NewTimer(tables.OrderTimer),
		ready:          tables.NewReadyAttempts(),
		rollouts:       tables.NewRollouts(),
		zones:          tables.NewZones(time.Now()),
		draining:       make(chan struct{}),
		observer:       observer,
	}
	d.pools = startWorkers(d.ready, cfg.Workers)
	return d
}

// startWorkers starts a pool of workers for each rank that run the attempts of a queue.
func startWorkers(queue *tables.ReadyAttempts, workers int) []*pool.Pool {
	var pools []*pool.Pool
	for r := range model.RankCount {
		rank := model.Rank(r)
		pools = append(pools, pool.Start(workers, func() (func(), bool) {
			a, ok := queue.Take(rank)
			if !ok {
				return nil, false
			}
			return a.Run, true
		}))
	}
	return pools
}

// Close waits for the attempts in the pools to end and stops the pools.
func (d *Dispatcher) Close() {
	if d.forwarding != nil {
		d.forwarding.close()
	}
	d.ready.Close()
	for _, p := range d.pools {
		p.Wait()
	}
	d.Timer.Stop()
}

// Rand returns a random source for one request. It depends only on the seed and the order of the calls.
func (d *Dispatcher) Rand() *rand.Rand {
	return rand.New(rand.NewPCG(d.cfg.Seed, d.randStreams.Add(1))) //nolint:gosec // not used for secrets
}

// Policy returns the dispatcher's policy.
func (d *Dispatcher) Policy() model.Policy { return d.cfg.Policy }

// Choose returns the index of the candidate for the next attempt, or false if none is usable.
func (d *Dispatcher) Choose(cs []routing.Candidate, rnd *rand.Rand) (int, bool) {
	if d.cfg.Policy == model.PolicyBaseline {
		return routing.ChooseRandom(cs, rnd)
	}
	return routing.Choose(cs, rnd)
}

// SelectionCriteria determines which replicas of a shard Candidates marks as usable.
type SelectionCriteria struct {
	Shard *model.Shard
	Rank  model.Rank
	// Regions are the regions in which the request may be served; nil means all.
	Regions model.Regions
	// Tried lists the servers that must not be selected again.
	Tried []model.ServerName
	// Unforwarded means that this daemon sends the request itself, so that servers that only their owners may send to are not
	// selected unless this daemon owns them.
	Unforwarded bool
}

// Candidates fills cs with the replicas of a shard and records with their server records, in the same order. Replicas outside of
// the criteria's regions are left out, and others that must not be selected are marked as not usable. Both slices are reused.
func (d *Dispatcher) Candidates(cs []routing.Candidate, records []*tables.Server, criteria SelectionCriteria, now time.Time) (
	[]routing.Candidate, []*tables.Server,
) {
	records = d.serversAtHome(records, criteria.Shard, criteria.Regions)
	cs = cs[:0]
	for _, r := range records {
		var c routing.Candidate
		r.FillCandidate(&c, now)
		if criteria.Unforwarded && !d.mayConnect(r) {
			c.Usable, c.Probe = false, false
		}
		c.Locality = routing.LocalityOf(c.Server, d.cfg.Zone, d.cfg.Region)
		cs = append(cs, c)
	}
	d.zones.Exclude(cs)
	routing.ExcludeTried(cs, criteria.Tried)
	routing.PreferWarm(cs)
	if criteria.Rank == model.RankUrgent && d.cfg.Policy != model.PolicyBaseline {
		routing.AvoidColdServers(cs)
	}
	return cs, records
}

// serversAtHome fills records with the server records of a shard in the given regions.
func (d *Dispatcher) serversAtHome(records []*tables.Server, shard *model.Shard, regions model.Regions) []*tables.Server {
	records = d.Servers.AppendShard(records[:0], shard)
	if regions == nil {
		return records
	}
	return slices.DeleteFunc(records, func(s *tables.Server) bool { return !regions.Contains(s.Spec().Region) })
}

func (d *Dispatcher) release(s *tables.Server) {
	for _, a := range s.Release(time.Now()) {
		d.ready.Push(a)
	}
	if !d.mayConnect(s) {
		d.Timer.Schedule(time.Now().Add(idleDelay), func() { d.closeUnowned(s) })
	}
}

// Metrics returns the metrics that count requests, hedges and retries. It may be nil, in which case nothing is counted.
func (d *Dispatcher) Metrics() *telemetry.Metrics { return d.cfg.Metrics }

// finishAttempt reports the result of an attempt that was sent at begin after it was queued for the time waited. It
// releases the attempt's capacity and returns its slowdown.
func (d *Dispatcher) finishAttempt(s *tables.Server, begin time.Time, waited time.Duration, a AttemptResult) float64 {
	a.Latency = time.Since(begin)
	a.Total = waited + a.Latency
	d.recordZoneEvidence(s.Spec(), begin, a.Status)
	slowdown := d.observer.ObserveAttempt(s, a)
	d.release(s)
	return slowdown
}

// cancelTimeout is the time that a server has to acknowledge a cancellation and to act on it.
const cancelTimeout = 200 * time.Millisecond

// sendCancel asks the server to stop an attempt. It uses a spare connection and reports whether there was one.
func (d *Dispatcher) sendCancel(s *tables.Server, rank model.Rank, id backend.AttemptID) bool {
	if !s.TryAcquireSpare() {
		return false
	}
	d.ready.Push(&tables.Attempt{Server: s, Rank: rank, Run: func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		s.Client().Cancel(ctx, id)
		d.release(s)
	}})
	return true
}
