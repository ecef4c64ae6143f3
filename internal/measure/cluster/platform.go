package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// StoreFaults puts faults of the platform in force for a while.
type StoreFaults struct {
	Faults   platformserver.Faults
	Duration time.Duration
}

// Inject implements Fault.
func (f StoreFaults) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	c.Platform.SetFaults(f.Faults)
	defer c.Platform.SetFaults(platformserver.Faults{})
	return sleep(f.Duration, ctx.Done())
}

// LeavingServers marks one server in each of a share of the shards as leaving on the platform's list. The servers go on answering,
// so that work which they still get is seen.
type LeavingServers struct {
	Fraction float64
}

// Inject implements Fault.
func (f LeavingServers) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	shards := c.Service(service).Shards
	var names []model.ServerName
	for _, i := range rnd.Perm(len(shards))[:portion(len(shards), f.Fraction)] {
		names = append(names, shards[i].Servers[rnd.IntN(len(shards[i].Servers))].Name)
	}
	c.leave(names)
	return nil
}
