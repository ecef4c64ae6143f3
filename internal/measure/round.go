package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/measure/load"
	"oleandersill.example/oleandersill/internal/measure/observe"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

const (
	// warmUp precedes the measured time of each round, at the steady load.
	warmUp = 2 * time.Second
	// itemsPerShard is small, so that every answer can carry all items of all shards and be checked.
	itemsPerShard = 3
	// answerGrace is how long past its deadline a caller waits for a response.
	answerGrace = 2 * time.Second
)

// round is the outcome of one run of a scenario.
type round struct {
	figures  map[rowRank]observe.Figures
	recorded observe.Violations
	lateness load.Lateness
	duration time.Duration
	// cpu is nil without a profile.
	cpu *observe.CPU
}

// runRound starts a cluster, warms it up, offers the scenario's load with its faults, and stops the cluster.
func (d *driver) runRound(ctx context.Context, s *Scenario, policy model.Policy, seed uint64) (*round, error) {
	c, err := cluster.Start(ctx, d.clusterConfig(policy, seed), d.log)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	duration := max(d.options.Duration, s.Least)
	arrivals := load.Schedule(seed, d.streams(s.Shape, duration), d.options.Daemons)
	caller := d.newCaller(c, observe.NewCollector(d.shardMaps()))
	defer caller.client.CloseIdleConnections()
	start := time.Now()
	faults := d.startFaults(ctx, c, s, start.Add(warmUp), seed)
	var lateness load.Lateness
	work := func() {
		lateness = load.Run(start, arrivals, d.options.Workers, func(a load.Arrival, intended time.Time) {
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
	r.cpu = cpu
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

// streams offers the load without a flood for the warm-up and then the scenario's shape.
func (d *driver) streams(shape Shape, duration time.Duration) []load.Stream {
	var out []load.Stream
	for _, phase := range []struct {
		shape    Shape
		from, to time.Duration
	}{{warmShape(shape), 0, warmUp}, {shape, warmUp, warmUp + duration}} {
		for r, part := range phase.shape {
			out = append(out, load.Stream{
				Rank: model.Rank(r), Rate: part * d.capacity, Callers: d.callers[r],
				From: phase.from, To: phase.to,
			})
		}
	}
	return out
}

func (d *driver) shardMaps() observe.ShardMaps {
	maps := observe.ShardMaps{}
	maps.Add(*d.deployment.service)
	maps.Add(cluster.Repartitioned(*d.deployment.service))
	return maps
}

// startFaults injects the scenario's faults at their times, each on a goroutine of its own, and returns a channel that
// yields once when all have ended.
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
	measured := shift(collector.Samples())
	for _, rank := range rowRanks {
		r.figures[rank] = observe.Compute(measured, executions, duration, rank.keeps)
	}
	r.recorded = observe.CheckRecord(queries, record.RunsByKey(), c.Leaves())
	return r
}

// shift returns the samples with their times counted from the end of the warm-up; those of the warm-up are negative.
func shift(samples []observe.Sample) []observe.Sample {
	for i := range samples {
		samples[i].At -= warmUp
	}
	return samples
}

// caller sends queries as the callers' clients do and hands the answers to the collector.
type caller struct {
	cluster   *cluster.Cluster
	collector *observe.Collector
	client    *http.Client
	service   model.ServiceName
	limit     int
	deadline  time.Duration
	// header is the deadline header; empty leaves the rules' default.
	header string
}

func (d *driver) newCaller(c *cluster.Cluster, collector *observe.Collector) *caller {
	out := &caller{
		cluster:   c,
		collector: collector,
		service:   d.deployment.service.Name,
		limit:     min(queryhttp.MaxLimit, 2*itemsPerShard*len(d.deployment.service.Shards)),
		deadline:  time.Duration(d.deployment.rules.Deadlines.DefaultMs) * time.Millisecond,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         c.Network.Dialer(cluster.Place{Role: cluster.RoleClient}),
			MaxIdleConnsPerHost: d.options.Workers,
			DisableCompression:  true,
		}},
	}
	if d.options.Deadline > 0 {
		out.deadline = d.options.Deadline
		out.header = strconv.FormatInt(out.deadline.Milliseconds(), 10)
	}
	return out
}

func (c *caller) send(ctx context.Context, a load.Arrival, intended time.Time) {
	answer := observe.Answer{Arrival: a, Text: fmt.Sprintf("query-%d", a.Number)}
	before := c.collector.Revision(a.Target)
	answer.Sent = time.Now()
	c.exchange(ctx, &answer)
	answer.Latency = time.Since(intended)
	c.collector.Take(&answer, before)
}

func (c *caller) exchange(ctx context.Context, answer *observe.Answer) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline+answerGrace)
	defer cancel()
	body, err := json.Marshal(queryhttp.SearchRequest{Text: answer.Text, Limit: c.limit})
	if err != nil {
		return
	}
	url := "http://" + c.cluster.CallerAddress(answer.Arrival.Target) + "/v1/services/" + string(c.service) + "/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(httpapi.HeaderCaller, string(answer.Arrival.Caller))
	if c.header != "" {
		req.Header.Set(httpapi.HeaderDeadline, c.header)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer.HeaderOutcome = resp.Header.Get(httpapi.HeaderOutcome)
	answer.HeaderCoverage = resp.Header.Get(httpapi.HeaderCoverage)
	answer.Whole = json.NewDecoder(resp.Body).Decode(&answer.Body) == nil
}
