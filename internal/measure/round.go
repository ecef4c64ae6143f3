package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/measure/load"
	"oleandersill.example/oleandersill/internal/measure/observe"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// warmUp precedes the measured time of each round. It offers no more than the steady load.
	warmUp = 2 * time.Second
	// itemsPerShard is small, so that every answer can have all items of all shards and its coverage can be checked.
	itemsPerShard = 3
	// commandRate is the rate of non-idempotent requests, per second. Each one costs two writes to the store.
	commandRate = 10
	// responseGrace is how long after the deadline a caller still waits for a response.
	responseGrace = 2 * time.Second
)

// round is the result of one run of a scenario.
type round struct {
	figures map[rowRank]observe.Figures
	// roundViolations are those not found in a single answer to a query.
	roundViolations observe.Violations
	lateness        load.Lateness
	duration        time.Duration
	// propagationTimes is how long configuration changes took to be in force, one value per change and daemon.
	propagationTimes []time.Duration
	// cpu is nil without a profile.
	cpu *observe.CPU
}

// runRound starts a cluster, warms it up, offers the scenario's load while it injects the faults, and stops the cluster.
func (d *driver) runRound(ctx context.Context, s *Scenario, policy model.Policy, seed uint64) (*round, error) {
	cfg := d.clusterConfig(policy, seed)
	cfg.LoadBalancer = s.LoadBalancer
	c, err := cluster.Start(ctx, cfg, d.log)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	duration := max(d.options.Duration, s.MinDuration)
	arrivals := load.Schedule(seed, d.streams(s.Load, duration), d.options.Daemons)
	caller := d.newCaller(c, observe.NewCollector(d.shardMaps()))
	defer caller.client.CloseIdleConnections()
	start := time.Now()
	faults := d.startFaults(ctx, c, s, start.Add(warmUp), seed)
	var lateness load.Lateness
	work := func() {
		lateness = load.Run(start, arrivals, d.options.Workers, func(a load.Arrival, intended time.Time) {
			if a.Command {
				caller.sendCommand(ctx, a, intended)
				return
			}
			caller.send(ctx, a, intended)
		})
	}
	var cpu *observe.CPU
	if d.options.CPU {
		cpu, err = profiled(ctx, c, work)
	} else {
		work()
	}
	if err = errors.CombineErrors(err, <-faults); err != nil {
		return nil, errors.Wrapf(err, "measure: %s", s.Name)
	}
	r := d.evaluate(c, caller.collector, lateness, duration)
	r.cpu, r.propagationTimes = cpu, c.PropagationTimes()
	if edits := c.Edits(); len(edits.Edits) > 0 {
		d.progress("%s", edits)
	}
	if reasons := observe.CountReasons(caller.collector.Commands()); len(reasons) > 0 {
		d.progress("reasons of attempts of non-idempotent requests that did not complete: %v", reasons)
	}
	return r, nil
}

func (d *driver) clusterConfig(policy model.Policy, seed uint64) cluster.Config {
	return cluster.Config{
		Inventory:   d.deployment.inventory,
		Rules:       d.deployment.rules,
		Policy:      policy,
		Daemons:     d.options.Daemons,
		ServiceTime: d.serviceTime,
		Spread:      d.options.Spread,
		Items:       itemsPerShard,
		Seed:        seed,
	}
}

// streams returns the streams of a round: the load without a flood during the warm-up, then the scenario's load.
func (d *driver) streams(offered OfferedLoad, duration time.Duration) []load.Stream {
	var out []load.Stream
	for _, phase := range []struct {
		offered  OfferedLoad
		from, to time.Duration
	}{{warmUpLoad(offered), 0, warmUp}, {offered, warmUp, warmUp + duration}} {
		for r, fraction := range phase.offered {
			out = append(out, load.Stream{
				Rank: model.Rank(r), Rate: fraction * d.capacity, Callers: d.callers[r],
				From: phase.from, To: phase.to,
			})
		}
	}
	if d.deployment.commandService != "" {
		out = append(out, load.Stream{
			Rank: model.RankUrgent, Rate: commandRate, Callers: d.callers[model.RankUrgent], Command: true,
			From: warmUp, To: warmUp + duration,
		})
	}
	return out
}

func (d *driver) shardMaps() observe.ShardMaps {
	maps := observe.ShardMaps{}
	maps.Add(*d.deployment.service)
	maps.Add(cluster.Repartitioned(*d.deployment.service))
	return maps
}

// startFaults injects the scenario's faults at their times, each on its own goroutine. The returned channel receives the
// combined error when all of them have ended.
func (d *driver) startFaults(
	ctx context.Context, c *cluster.Cluster, s *Scenario, begin time.Time, seed uint64,
) <-chan error {
	results := make(chan error)
	for i, f := range s.Faults {
		rnd := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // fault draws need no secrecy
		go func() {
			time.Sleep(time.Until(begin.Add(f.At)))
			results <- f.Fault.Inject(ctx, c, d.deployment.service.Name, rnd)
		}()
	}
	ended := make(chan error, 1)
	go func() {
		var failed error
		for range s.Faults {
			failed = errors.CombineErrors(failed, <-results)
		}
		ended <- failed
	}()
	return ended
}

func (d *driver) evaluate(
	c *cluster.Cluster, collector *observe.Collector, lateness load.Lateness, duration time.Duration,
) *round {
	r := &round{figures: map[rowRank]observe.Figures{}, lateness: lateness, duration: duration}
	record := c.Record(d.deployment.service.Name)
	queries := record.Queries()
	executions := observe.CountExecutions(queries)
	measured := sinceWarmUp(collector.Samples())
	for _, rank := range rowRanks {
		r.figures[rank] = observe.Compute(measured, executions, duration, rank.matches)
	}
	runs := map[string]int{}
	if d.deployment.commandService != "" {
		runs = c.Record(d.deployment.commandService).RunsByKey()
	}
	r.roundViolations = observe.CheckRecord(queries, runs, c.LeaveTimes())
	r.roundViolations.Add(observe.CheckCommands(collector.Commands(), runs))
	results := c.Edits()
	edits := make([]observe.Edit, 0, len(results.Edits))
	for _, e := range results.Edits {
		edits = append(edits, observe.Edit(e))
	}
	r.roundViolations.Add(observe.CheckEdits(edits, results.Trail))
	return r
}

// sinceWarmUp changes the times of the samples in place to be relative to the end of the warm-up, and returns the samples.
// Those sent during the warm-up have negative times.
func sinceWarmUp(samples []observe.Sample) []observe.Sample {
	for i := range samples {
		samples[i].At -= warmUp
	}
	return samples
}
