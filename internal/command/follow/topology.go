package follow

import (
	"cmp"
	"context"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// runInstalls builds and installs a Topology whenever the table changed or a server whose entry was removed must no longer
// be used, until ctx ends.
func (f *Follower) runInstalls(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	b := topologyBuilder{zones: f.deps.Zones, rules: f.deps.Rules}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		case <-timer.C:
		}
		now := time.Now()
		for _, name := range f.deps.Registry.Expire(now) {
			f.deps.Log.Info().Str("server", string(name)).Str("reason", "entry_missing").Msg("server_dropped")
		}
		f.installTopology(&b, now)
		if at := f.deps.Registry.NextExpiry(); at.IsZero() {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(max(0, time.Until(at)))
		}
	}
}

func (f *Follower) installTopology(b *topologyBuilder, now time.Time) {
	v := f.deps.Registry.View()
	if v.Routing == nil {
		return
	}
	if b.setMembers(v.Members) {
		f.deps.DaemonsChanged(b.members, f.isAnnounced(b.members))
		f.deps.Log.Info().Int("daemons", b.daemonCount()).Msg("daemons_changed")
	}
	current := f.deps.Config.Current()
	if current == nil || current.Routing.Version != v.Routing.Version {
		f.logUnknownRegions(v.Routing)
	}
	t := b.build(&v, current)
	f.deps.ApplyTopology(t, now)
	f.deps.Config.Install(t)
	f.deps.Registry.RoutingInstalled(v.Routing)
	f.deps.Log.Info().Uint64("version", uint64(v.Routing.Version)).Uint64("revision", uint64(t.Revision)).
		Int("servers", t.ServerCount()).Dur("heard_ago", now.Sub(v.ConfirmedAt)).Msg("topology_in_force")
}

// isAnnounced reports whether the daemon's own entry is among members.
func (f *Follower) isAnnounced(members []model.Member) bool {
	return slices.ContainsFunc(members, func(m model.Member) bool { return m.Instance == f.deps.Self.Instance })
}

// daemonCountStep is the multiple to which the number of daemons that share a server's connections is rounded up, so that the
// connection budget does not change with each daemon that joins.
const daemonCountStep = 4

// minDaemonCount is the number of daemons that is assumed until more are known.
const minDaemonCount = 8

// topologyBuilder builds Topologies that share unchanged services with the previous one.
type topologyBuilder struct {
	zones    []model.ZoneSpec
	rules    model.Rules
	revision model.Revision
	members  []model.Member
	services map[model.ServiceName]model.ServiceSpec
}

// setMembers stores the daemons, sorted by instance, and reports whether they changed.
func (b *topologyBuilder) setMembers(members []model.Member) bool {
	slices.SortFunc(members, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	if b.members != nil && slices.Equal(b.members, members) {
		return false
	}
	b.members = members
	return true
}

// daemonCount returns the number of daemons. It is at least 1, since this daemon runs although its entry may be missing.
func (b *topologyBuilder) daemonCount() int { return max(1, len(b.members)) }

func (b *topologyBuilder) build(v *tables.RegistryView, base *model.Topology) *model.Topology {
	b.revision++
	daemonCount := max(minDaemonCount, b.daemonCount())
	inv := model.Inventory{
		MaxInstances: (daemonCount + daemonCountStep - 1) / daemonCountStep * daemonCountStep,
		Zones:        b.zones,
		Services:     b.serviceSpecs(v),
	}
	t := model.NewTopologyWithBase(base, b.revision, inv, b.rules)
	t.Routing = v.Routing
	return t
}

// serviceSpecs returns a service with one shard for each service of the routing configuration. The servers of evacuated zones are
// left out, so that they get no requests, like servers that have left.
func (b *topologyBuilder) serviceSpecs(v *tables.RegistryView) []model.ServiceSpec {
	servers := map[model.ServiceName][]model.ServerSpec{}
	services := make(map[model.ServiceName]*model.BackendService, len(v.Routing.Services))
	for i := range v.Routing.Services {
		services[v.Routing.Services[i].Name] = &v.Routing.Services[i]
	}
	evacuated := evacuatedZones(b.zones, v.Evacuated)
	for i := range v.Servers {
		r := &v.Servers[i]
		service := services[r.Service]
		if service == nil || evacuated[r.Zone] {
			continue
		}
		spec := model.ServerSpec{
			Name: r.Name, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Connections: service.MaxConnections, Leaving: r.Leaving,
			Started: r.Started,
		}
		if service.ColdRate > 0 {
			spec.ColdRate, spec.ColdUntil = service.ColdRate, v.ColdUntil[r.Name]
		}
		servers[r.Service] = append(servers[r.Service], spec)
	}
	specs := make([]model.ServiceSpec, 0, len(v.Routing.Services))
	next := make(map[model.ServiceName]model.ServiceSpec, len(v.Routing.Services))
	for _, s := range v.Routing.Services {
		spec := b.serviceSpec(s.Name, servers[s.Name])
		specs = append(specs, spec)
		next[s.Name] = spec
	}
	b.services = next
	return specs
}

// serviceSpec returns the service as in the previous Topology if its servers are the same, or a new one.
func (b *topologyBuilder) serviceSpec(name model.ServiceName, servers []model.ServerSpec) model.ServiceSpec {
	if prev, ok := b.services[name]; ok && slices.Equal(prev.Shards[0].Servers, servers) {
		return prev
	}
	shard := model.ShardSpec{Name: model.ShardName(name), KeyTo: model.KeySpace, Servers: servers}
	return model.ServiceSpec{Name: name, Shards: []model.ShardSpec{shard}}
}
