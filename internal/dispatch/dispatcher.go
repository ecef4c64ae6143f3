package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Observer is told what attempts showed about servers. It is called on a worker, without locks.
type Observer interface {
	// ObserveAttempt records the end of an attempt. It returns the ratio of its total time to the server's uncongested
	// latency, or 0 without a reply.
	ObserveAttempt(server *tables.Server, o AttemptResult) float64
}

// AttemptResult is what the end of an attempt showed.
type AttemptResult struct {
	Status backend.Status
	// Latency is the time from sending to the reply, and Total the time that the attempt waited before as well.
	Latency time.Duration
	Total   time.Duration
	// Delayed is how long the reply then waited at the server's owner for others.
	Delayed time.Duration
	Load    backend.Load
	// Held lists the index versions that the server said it holds; nil if it said nothing.
	Held []model.IndexVersion
	// Forwarded tells that the server's owner sent the attempt.
	Forwarded bool
}

// Config places a dispatcher and sizes its pools.
type Config struct {
	Zone   model.AvailabilityZone
	Region model.Region
	// Workers is the number of workers of each rank's pool.
	Workers int
	// Policy is the policy of replica choice and limits.
	Policy model.Policy
	// Metrics counts refusals and cancellations; nil counts nothing.
	Metrics *telemetry.Metrics
	// OnZoneChange, if set, is called when a zone becomes unreachable and when it is reachable again. It must not block.
	OnZoneChange func(zone model.AvailabilityZone, unreachable bool)
	// ServiceBudgets bound the extra attempts of routes; nil where there are no routes.
	ServiceBudgets *tables.ServiceBudgets
	// Seed makes the replica draws reproducible.
	Seed uint64
}

// Dispatcher is the engine below queries and commands. Create it with New, end it with Close.
type Dispatcher struct {
	cfg        Config
	Config     *tables.Config
	Servers    *tables.Servers
	Budgets    *tables.Budgets
	Admissions *tables.Admissions
	// ServiceBudgets bound the extra attempts of routes, and Splits divide the requests of weighted routes.
	ServiceBudgets *tables.ServiceBudgets
	Splits         *tables.Splits
	// AnswerLag is how long answers over many shards take to be written.
	AnswerLag *tables.AnswerLag
	Timer     *pool.Timer

	ready    *tables.ReadyAttempts
	pools    []*pool.Pool
	observer Observer
	// forwarding is nil if all attempts are sent from here.
	forwarding *Forwarding
	rollouts   *tables.Rollouts
	zones      *tables.Zones
	draws      atomic.Uint64
}

// New returns a running dispatcher over the given tables.
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
		Timer:          pool.NewTimer(tables.OrderTimer),
		ready:          tables.NewReadyAttempts(),
		rollouts:       tables.NewRollouts(),
		zones:          tables.NewZones(time.Now()),
		observer:       observer,
	}
	for r := range model.RankCount {
		rank := model.Rank(r)
		d.pools = append(d.pools, pool.Start(cfg.Workers, func() (func(), bool) {
			a, ok := d.ready.Take(rank)
			if !ok {
				return nil, false
			}
			return a.Run, true
		}))
	}
	return d
}

// Close ends the pools once the attempts in them have ended.
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

// Rand returns a random source for one request, reproducible from the seed and the order of requests.
func (d *Dispatcher) Rand() *rand.Rand {
	return rand.New(rand.NewPCG(d.cfg.Seed, d.draws.Add(1))) //nolint:gosec // replica draws need no secrecy
}

// Policy returns the dispatcher's policy.
func (d *Dispatcher) Policy() model.Policy { return d.cfg.Policy }

// Choose returns the index of the candidate that should get the next attempt, or false if none is usable.
func (d *Dispatcher) Choose(cs []routing.Candidate, rnd *rand.Rand) (int, bool) {
	if d.cfg.Policy == model.PolicyBaseline {
		return routing.ChooseRandom(cs, rnd)
	}
	return routing.Choose(cs, rnd)
}

// Selection says for what a replica is to be chosen.
type Selection struct {
	Shard *model.Shard
	Rank  model.Rank
	// Tried are the servers that are not to be chosen again.
	Tried []model.ServerName
}

// Candidates fills cs with the replicas of a shard, of which those that must not be chosen are not usable. Records are in
// the same order. Both slices are reused.
func (d *Dispatcher) Candidates(cs []routing.Candidate, records []*tables.Server, sel Selection, now time.Time) (
	[]routing.Candidate, []*tables.Server,
) {
	records = d.Servers.AppendShard(records[:0], sel.Shard)
	cs = cs[:0]
	for _, r := range records {
		var c routing.Candidate
		r.FillCandidate(&c, now)
		c.Place = routing.PlaceOf(c.Server, d.cfg.Zone, d.cfg.Region)
		cs = append(cs, c)
	}
	d.zones.Exclude(cs)
	routing.Exclude(cs, sel.Tried)
	if sel.Rank == model.RankUrgent && d.cfg.Policy != model.PolicyBaseline {
		routing.AvoidColdServers(cs)
	}
	return cs, records
}

// submit takes headroom for the attempt and queues it for a worker, or leaves it waiting at its server.
func (d *Dispatcher) submit(a *tables.Attempt) {
	if a.Server.Acquire(a) {
		d.ready.Push(a)
	}
}

func (d *Dispatcher) release(s *tables.Server) {
	for _, a := range s.Release(time.Now()) {
		d.ready.Push(a)
	}
}

// Metrics returns what counts hedges and retries; it may be nil, which counts nothing.
func (d *Dispatcher) Metrics() *telemetry.Metrics { return d.cfg.Metrics }

// end reports the end of an attempt that was sent at begin after waiting, gives its headroom back and returns its slowdown.
func (d *Dispatcher) end(s *tables.Server, begin time.Time, waited time.Duration, a AttemptResult) float64 {
	a.Latency = time.Since(begin)
	a.Total = waited + a.Latency
	d.noteEnd(s.Spec(), begin, a.Status)
	slowdown := d.observer.ObserveAttempt(s, a)
	d.release(s)
	return slowdown
}

// cancelTimeout bounds the wait for a server's acknowledgement of a cancellation.
const cancelTimeout = 200 * time.Millisecond

// sendCancel tells the server to stop an attempt over a spare connection, and reports whether there was one.
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
