package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// ColdStart multiplies the service time of a server by Factor for Duration after its start. The zero value has no effect.
type ColdStart struct {
	Duration time.Duration
	Factor   float64
}

// ColdJoin adds a cold server to each of a fraction of the shards through a configuration change.
type ColdJoin struct {
	Fraction float64
	Cold     ColdStart
}

// Inject implements Fault.
func (f ColdJoin) Inject(ctx context.Context, c *Cluster, service model.ServiceName, rnd *rand.Rand) error {
	return c.edit(ctx, func(inv *model.Inventory) error {
		svc := findService(inv, service)
		for _, i := range rnd.Perm(len(svc.Shards))[:countOf(len(svc.Shards), f.Fraction)] {
			sh := &svc.Shards[i]
			spec := sh.Servers[0]
			spec.Name += "-joined"
			spec.Zone = unusedZone(inv.Zones, sh.Servers)
			if err := c.startServer(svc, sh.Name, &spec, rnd.Uint64(), f.Cold); err != nil {
				return err
			}
			sh.Servers = append(sh.Servers, spec)
		}
		c.Platform.SetInstances(c.instances(*inv))
		return nil
	})
}

// unusedZone returns the first zone that none of the servers is in, or the last zone if there is none.
func unusedZone(zones []model.ZoneSpec, servers []model.ServerSpec) model.AvailabilityZone {
	used := map[model.AvailabilityZone]bool{}
	for _, s := range servers {
		used[s.Zone] = true
	}
	for _, z := range zones {
		if !used[z.Name] {
			return z.Name
		}
	}
	return zones[len(zones)-1].Name
}

// Repartition splits the first shard and merges the two after it, in the steps that operators take: the servers load the new
// shard map beside the old one, the configuration changes, and after Retention the servers drop the old map.
type Repartition struct {
	Retention time.Duration
}

// Inject implements Fault.
func (f Repartition) Inject(ctx context.Context, c *Cluster, service model.ServiceName, _ *rand.Rand) error {
	err := c.edit(ctx, func(inv *model.Inventory) error {
		svc := findService(inv, service)
		*svc = Repartitioned(*svc)
		c.assignShards(svc, 1)
		return nil
	})
	if err != nil {
		return err
	}
	if err := sleep(f.Retention, ctx.Done()); err != nil {
		return err
	}
	c.assignShards(c.Service(service), 0)
	return nil
}

// assignShards makes the servers serve their shards of the service's shard map, and retain that many earlier maps.
func (c *Cluster) assignShards(svc *model.ServiceSpec, retain int) {
	for _, sh := range svc.Shards {
		for _, spec := range sh.Servers {
			c.Server(spec.Name).Repartition(sh.Name, svc.ShardMapEpoch, retain)
		}
	}
}

// Repartitioned returns the service with the next shard map: the first shard is split into halves, the two after it are
// merged, and the servers of the third shard take over the upper half of the first. For a service with fewer than three
// shards only the epoch changes.
func Repartitioned(svc model.ServiceSpec) model.ServiceSpec {
	out := svc
	out.ShardMapEpoch++
	if len(svc.Shards) < 3 {
		return out
	}
	first, second, third := svc.Shards[0], svc.Shards[1], svc.Shards[2]
	middle := (first.KeyFrom + first.KeyTo) / 2
	out.Shards = append([]model.ShardSpec{
		{Name: first.Name + "-low", KeyFrom: first.KeyFrom, KeyTo: middle, Servers: first.Servers},
		{Name: first.Name + "-high", KeyFrom: middle, KeyTo: first.KeyTo, Servers: third.Servers},
		{
			Name:    model.ShardName(fmt.Sprintf("%s-%s", second.Name, third.Name)),
			KeyFrom: second.KeyFrom, KeyTo: third.KeyTo, Servers: second.Servers,
		},
	}, svc.Shards[3:]...)
	return out
}

func findService(inv *model.Inventory, name model.ServiceName) *model.ServiceSpec {
	for i := range inv.Services {
		if inv.Services[i].Name == name {
			return &inv.Services[i]
		}
	}
	panic("cluster: unknown service " + string(name))
}

// Service returns a copy of a service of the inventory in force.
func (c *Cluster) Service(name model.ServiceName) *model.ServiceSpec {
	inv := c.Inventory()
	return findService(&inv, name)
}

// serviceServers returns the stand-ins of a service, in the order of the inventory.
func (c *Cluster) serviceServers(name model.ServiceName) []*backendserver.Server {
	var out []*backendserver.Server
	for _, sh := range c.Service(name).Shards {
		for _, s := range sh.Servers {
			out = append(out, c.Server(s.Name))
		}
	}
	return out
}
