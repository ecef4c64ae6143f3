package follow

import (
	"cmp"
	"context"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// adopt makes a Topology whenever the table changed or a server that vanished is not to be used any longer, and puts it in
// force.
func (f *Follower) adopt(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	b := builder{zones: f.deps.Zones, rules: f.deps.Rules}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		case <-alarm.C:
		}
		now := time.Now()
		for _, name := range f.deps.Registry.Expire(now) {
			f.deps.Log.Info().Str("server", string(name)).Str("reason", "entry_missing").Msg("server_dropped")
		}
		f.putInForce(&b, now)
		if at := f.deps.Registry.NextExpiry(); at.IsZero() {
			alarm.Reset(time.Hour)
		} else {
			alarm.Reset(max(0, time.Until(at)))
		}
	}
}

func (f *Follower) putInForce(b *builder, now time.Time) {
	v := f.deps.Registry.View()
	if v.Routing == nil {
		return
	}
	if b.setDaemons(v.Members) {
		f.deps.DaemonsChanged(b.members, f.isAnnounced(b.members))
		f.deps.Log.Info().Int("daemons", b.daemons()).Msg("daemons_changed")
	}
	t := b.build(&v, f.deps.Config.Current())
	f.deps.ApplyTopology(t, now)
	f.deps.Config.Install(t)
	f.deps.Log.Info().Uint64("version", uint64(v.Routing.Version)).Uint64("revision", uint64(t.Revision)).
		Int("servers", t.ServerCount()).Dur("heard_ago", now.Sub(v.Heard)).Msg("topology_in_force")
}

// isAnnounced tells whether the daemon's own entry is among those that are known.
func (f *Follower) isAnnounced(members []model.Member) bool {
	return slices.ContainsFunc(members, func(m model.Member) bool { return m.Instance == f.deps.Self.Instance })
}

// connectionStep is the step by which the number of daemons that divide a server's connections grows, so that the budget
// does not change with each daemon that joins.
const connectionStep = 4

// assumedDaemons is the number of daemons that is assumed until more are known.
const assumedDaemons = 8

// builder makes Topologies, sharing what did not change with the one before.
type builder struct {
	zones    []model.ZoneSpec
	rules    model.Rules
	revision model.Revision
	members  []model.Member
	services map[model.ServiceName]model.ServiceSpec
}

// setDaemons tells whether the daemons changed.
func (b *builder) setDaemons(members []model.Member) bool {
	slices.SortFunc(members, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	if b.members != nil && slices.Equal(b.members, members) {
		return false
	}
	b.members = members
	return true
}

// daemons is the number of daemons; this one runs although its entry may be missing.
func (b *builder) daemons() int { return max(1, len(b.members)) }

func (b *builder) build(v *tables.RegistryView, base *model.Topology) *model.Topology {
	b.revision++
	dividing := max(assumedDaemons, b.daemons())
	inv := model.Inventory{
		MaxInstances: (dividing + connectionStep - 1) / connectionStep * connectionStep,
		Zones:        b.zones,
		Services:     b.specs(v),
	}
	t := model.NewTopologyOn(base, b.revision, inv, b.rules)
	t.Routing = v.Routing
	return t
}

// specs makes one service of one shard for each service of the routing configuration.
func (b *builder) specs(v *tables.RegistryView) []model.ServiceSpec {
	servers := map[model.ServiceName][]model.ServerSpec{}
	connections := make(map[model.ServiceName]int, len(v.Routing.Services))
	for _, s := range v.Routing.Services {
		connections[s.Name] = s.MaxConnections
	}
	for i := range v.Servers {
		r := &v.Servers[i]
		limit, known := connections[r.Service]
		if !known {
			continue
		}
		servers[r.Service] = append(servers[r.Service], model.ServerSpec{
			Name: r.Name, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Connections: limit, Leaving: r.Leaving,
			Started: r.Started,
		})
	}
	specs := make([]model.ServiceSpec, 0, len(v.Routing.Services))
	next := make(map[model.ServiceName]model.ServiceSpec, len(v.Routing.Services))
	for _, s := range v.Routing.Services {
		spec := b.spec(s.Name, servers[s.Name])
		specs = append(specs, spec)
		next[s.Name] = spec
	}
	b.services = next
	return specs
}

// spec returns the spec of the Topology before if its servers are the same.
func (b *builder) spec(name model.ServiceName, servers []model.ServerSpec) model.ServiceSpec {
	if old, ok := b.services[name]; ok && slices.Equal(old.Shards[0].Servers, servers) {
		return old
	}
	shard := model.ShardSpec{Name: model.ShardName(name), KeyTo: model.KeySpace, Servers: servers}
	return model.ServiceSpec{Name: name, Shards: []model.ShardSpec{shard}}
}
