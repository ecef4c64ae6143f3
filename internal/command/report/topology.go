package report

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/decision/fairshare"
	"oleandersill.example/oleandersill/internal/decision/limit"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// baselineLimit is the admission limit of the baseline policy, which does not limit admission in practice.
const baselineLimit = 1 << 20

// appliedTopology is a Topology with the inputs of its server records other than the servers' specs.
type appliedTopology struct {
	topology *model.Topology
	daemons  int
	minimums *fairshare.Minimums
}

// sharesService reports whether a service is part of both Topologies and the records of its servers need no change.
func (a *appliedTopology) sharesService(svc *model.Service, next *appliedTopology) bool {
	return a.topology != nil && a.topology.Service(svc.Name) == svc && next.topology.Service(svc.Name) == svc &&
		a.daemons == next.daemons && a.minimums == next.minimums
}

// ApplyTopology updates the tables to a new Topology. Records of servers that remain are kept, so that the state learned about
// them survives a configuration change. Services that the Topology shares with the previous one are skipped, so that the cost
// is proportional to the changed services. It must not be called concurrently.
func (r *Recorder) ApplyTopology(t *model.Topology, now time.Time) {
	maps.DeleteFunc(r.removed, func(_ model.ServerName, s removedServer) bool { return !now.Before(s.restUntil) })
	previous := r.applied
	next := r.describe(t)
	joined := joinTime(r.Servers.Len() == 0, now)
	previousCapacity := r.capacity.Load()
	capacity := make(map[model.ServiceName]*serviceCapacity, len(t.Inventory.Services))
	present := map[model.ServerName]bool{}
	t.EachService(func(svc *model.Service) {
		if previous.sharesService(svc, &next) {
			capacity[svc.Name] = (*previousCapacity)[svc.Name]
			return
		}
		capacity[svc.Name] = r.applyService(svc, &next, joined, present, now)
	})
	r.capacity.Store(&capacity)
	r.removeServers(&previous, &next, present, now)
	r.applied = next
	r.applyRules(t, capacity, now)
}

// describe returns a Topology with its inputs, reusing the minimum shares of the applied one if they are equal.
func (r *Recorder) describe(t *model.Topology) appliedTopology {
	minimums := minimumShares(t)
	if previous := r.applied.minimums; previous != nil && *previous == *minimums {
		minimums = previous
	}
	return appliedTopology{
		topology: t, minimums: minimums, daemons: t.Inventory.MaxInstances + t.Inventory.SurgeInstances,
	}
}

// applyService updates the records of a service's servers and adds their names to present.
func (r *Recorder) applyService(
	svc *model.Service, next *appliedTopology, joined time.Time, present map[model.ServerName]bool, now time.Time,
) *serviceCapacity {
	c := &serviceCapacity{shards: int64(len(svc.Shards))}
	svc.EachServer(func(spec *model.Server) {
		rec := r.applyServer(spec, next.daemons, joined, now)
		rec.SetMinimums(next.minimums)
		c.limits.Add(int64(rec.Limit()))
		present[spec.Name] = true
	})
	return c
}

// removeServers removes the records of servers of changed services that are not in present. A server may have moved to
// another service, which then changed too.
func (r *Recorder) removeServers(previous, next *appliedTopology, present map[model.ServerName]bool, now time.Time) {
	if previous.topology == nil {
		return
	}
	previous.topology.EachService(func(svc *model.Service) {
		if previous.sharesService(svc, next) {
			return
		}
		svc.EachServer(func(spec *model.Server) {
			if !present[spec.Name] {
				r.removeServer(spec, now)
			}
		})
	})
}

// removeServer removes a server's record. If the server wants no requests yet, that is kept: its entry may only have expired.
func (r *Recorder) removeServer(spec *model.Server, now time.Time) {
	rec := r.Servers.Get(spec.Name)
	if rec == nil {
		return
	}
	if rest := rec.Pushback(now); rest > 0 {
		if r.removed == nil {
			r.removed = map[model.ServerName]removedServer{}
		}
		r.removed[spec.Name] = removedServer{spec: rec.Spec(), restUntil: now.Add(rest)}
	}
	r.Servers.Remove(spec.Name)
}

// minimumShares returns the minimum shares of the ranks at servers.
func minimumShares(t *model.Topology) *fairshare.Minimums {
	var m fairshare.Minimums
	for i := range m {
		m[i] = t.RankPolicy(model.Rank(i)).MinShare
	}
	m = m.OfAdmitted()
	return &m
}

// joinTime returns the join time of servers with new records. Servers of a daemon's first configuration are assumed to be
// warm.
func joinTime(first bool, now time.Time) time.Time {
	if first {
		return time.Time{}
	}
	return now
}

func (r *Recorder) applyServer(spec *model.Server, daemons int, joined, now time.Time) *tables.Server {
	connections := limit.ConnectionBudget(spec.Connections, daemons)
	rec := r.Servers.Get(spec.Name)
	if rec != nil && sameEndpoint(rec.Spec(), spec) {
		r.updateConnectionBudget(rec, spec, connections)
		rec.SetSpec(spec)
		rec.SetOwnerOnly(limit.OwnerOnly(spec.Connections, daemons))
		rec.SetColdAllowance(r.Cold)
		return rec
	}
	rec = tables.NewServer(spec, r.Connector.Connect(spec, connections), connections, joined)
	rec.SetOwnerOnly(limit.OwnerOnly(spec.Connections, daemons))
	rec.SetColdAllowance(r.Cold)
	if before, ok := r.removed[spec.Name]; ok && sameEndpoint(before.spec, spec) {
		rec.SetPushback(before.restUntil.Sub(now), now)
	}
	r.Servers.Put(rec)
	// If there are more daemons than connections, only the owner opens connections, on demand.
	if r.OnJoin != nil && !spec.Leaving && spec.Connections >= daemons {
		r.OnJoin(rec)
	}
	return rec
}

// updateConnectionBudget updates the connection budget of a server that remains, and keeps the state learned about it. The
// budget depends on the server's connections and on the number of daemons that may run: with the budget of a smaller fleet, a
// larger one would exceed what the server accepts. The client may depend on the server's connections too.
func (r *Recorder) updateConnectionBudget(rec *tables.Server, spec *model.Server, connections int) {
	if rec.Budget() != connections || rec.Spec().Connections != spec.Connections {
		rec.SetBudget(connections, r.Connector.Connect(spec, connections)).Close()
	}
}

func sameEndpoint(a, b *model.Server) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Shard == b.Shard && a.Started == b.Started
}

func (r *Recorder) applyRules(t *model.Topology, capacity map[model.ServiceName]*serviceCapacity, now time.Time) {
	r.Budgets.SetRules(t.Rules, now)
	var ranks [model.RankCount]model.RankPolicy
	for i := range ranks {
		ranks[i] = t.RankPolicy(model.Rank(i))
	}
	for name, c := range capacity {
		limit := c.admissionLimit()
		if r.Policy == model.PolicyBaseline {
			limit = baselineLimit
		}
		r.Admissions.Configure(name, admission.Config{Ranks: ranks, Limit: limit})
	}
}
