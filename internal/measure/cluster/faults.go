package cluster

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// Fault is a fault or a planned change that a cluster has to tolerate. Inject returns once the fault has ended or, if it lasts,
// has begun. Faults of servers and shards affect those of service only. Random choices are made with rnd.
type Fault interface {
	Inject(ctx context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error
}

// Straggler multiplies the service time of one in OneIn servers, chosen at random, by Factor.
type Straggler struct {
	OneIn  int
	Factor float64
}

// Inject implements Fault.
func (f Straggler) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	servers := c.serviceServers(service)
	rnd.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for _, s := range servers[:max(1, len(servers)/f.OneIn)] {
		s.UpdateFaults(func(now *backendserver.Faults) { now.SlowFactor = f.Factor })
	}
	return nil
}

// ReplicaLoss crashes one server in each of a fraction of the shards, chosen at random.
type ReplicaLoss struct {
	Fraction float64
}

// Inject implements Fault.
func (f ReplicaLoss) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	shards := c.Service(service).Shards
	for _, i := range rnd.Perm(len(shards))[:countOf(len(shards), f.Fraction)] {
		server := shards[i].Servers[rnd.IntN(len(shards[i].Servers))]
		c.Server(server.Name).Crash()
	}
	return nil
}

// VersionRollout switches the servers to the next index version one by one, spread over Duration. Each server retains the
// previous version.
type VersionRollout struct {
	Duration time.Duration
}

// Inject implements Fault.
func (f VersionRollout) Inject(ctx context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	servers := c.serviceServers(service)
	rnd.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for _, s := range servers {
		s.SetVersion(nextVersion, 1)
		if err := sleep(f.Duration/time.Duration(len(servers)), ctx.Done()); err != nil {
			return err
		}
	}
	return nil
}

// nextVersion is the index version after the one that servers start with.
const nextVersion = 2

// ZonePartition partitions one zone from the other zones and from the platform for Duration.
type ZonePartition struct {
	// Zone is the index of the zone in the inventory.
	Zone     int
	Duration time.Duration
}

// Inject implements Fault.
func (f ZonePartition) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	zone := c.cfg.Inventory.Zones[f.Zone].Name
	c.Network.Partition(zone)
	defer c.Network.Heal(zone)
	return sleep(f.Duration, ctx.Done())
}

// FalseReports makes all servers report wrong health or load, a quarter of them each as not serving, overloaded, idle, or
// with the last report from before the fault.
type FalseReports struct{}

// Inject implements Fault.
func (FalseReports) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	const overload = 1000
	reports := []backendserver.Faults{
		{Health: &backend.Health{Serving: false}},
		{Load: &backend.Load{Running: overload, Waiting: overload}},
		{Load: &backend.Load{}, Health: &backend.Health{Serving: true}},
		{FrozenReports: true},
	}
	servers := c.serviceServers(service)
	rnd.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for i, s := range servers {
		report := reports[i%len(reports)]
		s.UpdateFaults(func(now *backendserver.Faults) {
			now.Health, now.Load, now.FrozenReports = report.Health, report.Load, report.FrozenReports
		})
	}
	return nil
}

// Sequence injects faults one after another.
type Sequence []Fault

// Inject implements Fault.
func (f Sequence) Inject(ctx context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	for _, fault := range f {
		if err := fault.Inject(ctx, c, service, rnd); err != nil {
			return err
		}
	}
	return nil
}

// countOf returns a fraction of n, rounded, but at least 1.
func countOf(n int, fraction float64) int {
	return min(n, max(1, int(math.Round(float64(n)*fraction))))
}
