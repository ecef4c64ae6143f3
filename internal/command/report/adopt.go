package report

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/decision/limit"
	"oleandersill.example/oleandersill/internal/decision/share"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// unlimited is the admission limit of the baseline policy.
const unlimited = 1 << 20

// adopted is a Topology with what the records of its servers were made from besides their specs.
type adopted struct {
	topology *model.Topology
	daemons  int
	minimums *share.Minimums
}

// covers tells whether a service is part of both Topologies and the records of its servers need no change.
func (a *adopted) covers(svc *model.Service, next *adopted) bool {
	return a.topology != nil && a.topology.Service(svc.Name) == svc && next.topology.Service(svc.Name) == svc &&
		a.daemons == next.daemons && a.minimums == next.minimums
}

// ApplyTopology brings the tables in step with a Topology that was put in force. Records of servers that stay are kept, so
// that what was learnt about them survives a configuration change. Services that the Topology shares with the one
// adopted before are passed over, so that a change costs in proportion to the services that it changes. One goroutine
// at a time calls it.
func (r *Recorder) ApplyTopology(t *model.Topology, now time.Time) {
	before := r.adopted
	next := r.next(t)
	joined := joinTime(r.Servers.Len() == 0, now)
	held := r.capacity.Load()
	capacity := make(map[model.ServiceName]*serviceCapacity, len(t.Inventory.Services))
	adopted := map[model.ServerName]bool{}
	t.EachService(func(svc *model.Service) {
		if before.covers(svc, &next) {
			capacity[svc.Name] = (*held)[svc.Name]
			return
		}
		capacity[svc.Name] = r.adoptService(svc, &next, joined, adopted)
	})
	r.capacity.Store(&capacity)
	r.removeServers(&before, &next, adopted)
	r.adopted = next
	r.adoptRules(t, capacity, now)
}

// next describes a Topology to adopt, with the minimum shares of the one adopted before if they are equal.
func (r *Recorder) next(t *model.Topology) adopted {
	minimums := minimumShares(t)
	if held := r.adopted.minimums; held != nil && *held == *minimums {
		minimums = held
	}
	return adopted{
		topology: t, minimums: minimums, daemons: t.Inventory.MaxInstances + t.Inventory.SurgeInstances,
	}
}

// adoptService brings the records of a service's servers in step, and adds their names to names.
func (r *Recorder) adoptService(
	svc *model.Service, next *adopted, joined time.Time, names map[model.ServerName]bool,
) *serviceCapacity {
	c := &serviceCapacity{shards: int64(len(svc.Shards))}
	svc.EachServer(func(spec *model.Server) {
		rec := r.adoptServer(spec, next.daemons, joined)
		rec.SetMinimums(next.minimums)
		c.limits.Add(int64(rec.Limit()))
		names[spec.Name] = true
	})
	return c
}

// removeServers removes the records of servers of changed services that were not adopted. A server may have moved to
// another service, which then changed too.
func (r *Recorder) removeServers(before, next *adopted, adopted map[model.ServerName]bool) {
	if before.topology == nil {
		return
	}
	before.topology.EachService(func(svc *model.Service) {
		if before.covers(svc, next) {
			return
		}
		svc.EachServer(func(spec *model.Server) {
			if !adopted[spec.Name] {
				r.Servers.Remove(spec.Name)
			}
		})
	})
}

func minimumShares(t *model.Topology) *share.Minimums {
	var m share.Minimums
	for i := range m {
		m[i] = t.RankPolicy(model.Rank(i)).MinShare
	}
	return &m
}

// joinTime returns when a new record's server counts as having joined: servers of a daemon's first configuration are
// taken as warm.
func joinTime(first bool, now time.Time) time.Time {
	if first {
		return time.Time{}
	}
	return now
}

func (r *Recorder) adoptServer(spec *model.Server, daemons int, joined time.Time) *tables.Server {
	connections := limit.ConnectionBudget(spec.Connections, daemons)
	rec := r.Servers.Get(spec.Name)
	if rec != nil && sameEndpoint(rec.Spec(), spec) {
		rec.SetSpec(spec)
		r.adoptBudget(rec, spec, connections)
		return rec
	}
	rec = tables.NewServer(spec, r.Connector.Connect(spec, connections), connections, joined)
	r.Servers.Put(rec)
	// With more daemons than connections only the owner opens any, on demand.
	if r.OnJoin != nil && !spec.Leaving && spec.Connections >= daemons {
		r.OnJoin(rec)
	}
	return rec
}

// adoptBudget brings the connection budget of a server that stays in step. What was learnt about the server stays too. The
// number of daemons that may run is part of the budget: with the budget of a smaller fleet, a larger one would exceed what
// the server accepts.
func (r *Recorder) adoptBudget(rec *tables.Server, spec *model.Server, connections int) {
	if rec.Budget() != connections {
		rec.SetBudget(connections, r.Connector.Connect(spec, connections)).Close()
	}
}

func sameEndpoint(a, b *model.Server) bool {
	return a.Address == b.Address && a.Connections == b.Connections && a.Service == b.Service && a.Shard == b.Shard &&
		a.Started == b.Started
}

func (r *Recorder) adoptRules(t *model.Topology, capacity map[model.ServiceName]*serviceCapacity, now time.Time) {
	r.Budgets.SetRules(t.Rules, now)
	var ranks [model.RankCount]model.RankPolicy
	for i := range ranks {
		ranks[i] = t.RankPolicy(model.Rank(i))
	}
	for name, c := range capacity {
		limit := c.admitted()
		if r.Policy == model.PolicyBaseline {
			limit = unlimited
		}
		r.Admissions.Configure(name, admission.Config{Ranks: ranks, Limit: limit})
	}
}
