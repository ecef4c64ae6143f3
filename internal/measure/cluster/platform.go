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
	Faults platformserver.Faults
	For    time.Duration
}

// Inject implements Fault.
func (f StoreFaults) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	c.Platform.SetFaults(f.Faults)
	defer c.Platform.SetFaults(platformserver.Faults{})
	return sleep(f.For, ctx.Done())
}

// Leave marks one server in each of a share of the shards as leaving on the platform's list. The servers go on answering,
// so that work which they still get is seen.
type Leave struct {
	Share float64
}

// Inject implements Fault.
func (f Leave) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	shards := c.Service(service).Shards
	var names []model.ServerName
	for _, i := range rnd.Perm(len(shards))[:portion(len(shards), f.Share)] {
		names = append(names, shards[i].Servers[rnd.IntN(len(shards[i].Servers))].Name)
	}
	c.leave(names)
	return nil
}
