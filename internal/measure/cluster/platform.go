package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// StoreFaults injects faults into the platform, and with it the store, for Duration.
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

// LeavingServers marks one server in each of a fraction of the shards as leaving in the platform's instance list. The servers
// keep answering, so that work that they still receive is recorded.
type LeavingServers struct {
	Fraction float64
}

// Inject implements Fault.
func (f LeavingServers) Inject(_ context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	shards := c.Service(service).Shards
	var names []model.ServerName
	for _, i := range rnd.Perm(len(shards))[:countOf(len(shards), f.Fraction)] {
		names = append(names, shards[i].Servers[rnd.IntN(len(shards[i].Servers))].Name)
	}
	c.markLeaving(names)
	return nil
}
