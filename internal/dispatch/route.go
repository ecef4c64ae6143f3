package dispatch

import (
	"oleandersill.example/oleandersill/internal/decision/trafficsplit"
	"oleandersill.example/oleandersill/internal/model"
)

// RouteShards returns the shards that a request of the route is sent to: all shards of the route's index, or the shard of
// the service that the route's weights select next. A service without servers has a shard without servers.
func (d *Dispatcher) RouteShards(t *model.Topology, route *model.Route) []*model.Shard {
	if route.Index == nil {
		part := 0
		if len(route.Parts) > 1 {
			part = max(0, trafficsplit.Part(route.Parts, d.Splits.Next(route.Name)))
		}
		return []*model.Shard{shardOf(t, route.Parts[part].Service)}
	}
	shards := make([]*model.Shard, len(route.Index.Services))
	for i, service := range route.Index.Services {
		shards[i] = shardOf(t, service)
	}
	return shards
}

// shardOf returns the shard of a service that is the target of a route.
func shardOf(t *model.Topology, service model.ServiceName) *model.Shard {
	if s := t.Service(service); s != nil {
		return s.Shards[0]
	}
	return &model.Shard{Name: model.ShardName(service)}
}
