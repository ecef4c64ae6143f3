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

// Fault is something that goes wrong in a cluster. Inject returns once its course is over; what it changed may stay.
type Fault interface {
	Inject(ctx context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error
}

// Straggler makes one server in OneIn so many times slower.
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

// ReplicaLoss crashes one server in each of a share of the shards.
type ReplicaLoss struct {
	Fraction float64
}

// Inject implements Fault.
func (f ReplicaLoss) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	shards := c.Service(service).Shards
	for _, i := range rnd.Perm(len(shards))[:portion(len(shards), f.Fraction)] {
		server := shards[i].Servers[rnd.IntN(len(shards[i].Servers))]
		c.Server(server.Name).Crash()
	}
	return nil
}

// VersionRollout moves the servers to the next index version, one by one. Each keeps the previous version.
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

// nextVersion follows the version that servers start with.
const nextVersion = 2

// ZonePartition parts one zone from the others and from the platform for a while.
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

// FalseReports makes health and load reports wrong on a quarter of the servers each: not serving, overloaded, idle, and
// frozen.
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

// Sequence injects faults one after the other.
type Sequence []Fault

// Inject implements Fault.
func (f Sequence) Inject(ctx context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	for _, part := range f {
		if err := part.Inject(ctx, c, service, rnd); err != nil {
			return err
		}
	}
	return nil
}

func portion(n int, share float64) int {
	return min(n, max(1, int(math.Round(float64(n)*share))))
}
