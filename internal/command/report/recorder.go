package report

import (
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/decision/limit"
	"oleandersill.example/oleandersill/internal/decision/share"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// unlimited is the admission limit of the baseline policy.
const unlimited = 1 << 20

// Recorder implements dispatch.Observer.
type Recorder struct {
	Config     *tables.Config
	Servers    *tables.Servers
	Admissions *tables.Admissions
	Budgets    *tables.Budgets
	Connector  backend.Connector
	Policy     model.Policy
	// OnJoin, if set, is called for the record of every server that joins or changes its address.
	OnJoin func(*tables.Server)
	// Draining is told of each drain answer, unless it is nil.
	Draining func(model.ServerName)

	capacity atomic.Pointer[map[model.ServiceName]*serviceCapacity]
}

// serviceCapacity is the sum of a service's in-flight limits, kept by increments so that an observation costs the same
// at any number of servers.
type serviceCapacity struct {
	shards int64
	limits atomic.Int64
}

func (c *serviceCapacity) admitted() int { return max(1, int(c.limits.Load()/max(1, c.shards))) }

// ObserveAttempt records the end of an attempt and returns its slowdown.
func (r *Recorder) ObserveAttempt(s *tables.Server, a dispatch.Attempt) float64 {
	if r.Policy == model.PolicyBaseline {
		return 0
	}
	r.noticeDraining(s, a.Status, a.Load)
	t := r.Config.Current()
	o := tables.Observation{
		Status:    a.Status,
		Latency:   a.Latency,
		Total:     a.Total,
		Forwarded: a.Forwarded,
		Load:      a.Load,
		Held:      a.Held,
		Quantile:  t.Rules.Hedge.Quantile,
		MayEject:  r.mayEject(t, s),
	}
	finding := s.Observe(o, time.Now())
	if finding.LimitDelta != 0 {
		r.changeCapacity(s.Spec().Service, finding.LimitDelta)
	}
	return finding.Slowdown
}

func (r *Recorder) noticeDraining(s *tables.Server, status backend.Status, load backend.Load) {
	if r.Draining != nil && (status == backend.StatusDraining || load.Draining) {
		r.Draining(s.Name())
	}
}

func (r *Recorder) changeCapacity(service model.ServiceName, delta int) {
	c := (*r.capacity.Load())[service]
	if c == nil {
		return
	}
	before := c.admitted()
	c.limits.Add(int64(delta))
	if after := c.admitted(); after != before {
		r.Admissions.SetLimit(service, after)
	}
}

// mayEject tells whether at least half of the shard's other servers are open, so that one more may be ejected.
func (r *Recorder) mayEject(t *model.Topology, s *tables.Server) bool {
	svc := t.Service(s.Spec().Service)
	if svc == nil {
		return false
	}
	for _, sh := range svc.Shards {
		if sh.Name == s.Spec().Shard {
			return r.openOthers(sh, s) > 0
		}
	}
	return false
}

func (r *Recorder) openOthers(sh *model.Shard, s *tables.Server) int {
	open := 0
	for _, other := range sh.Servers {
		if rec := r.Servers.Get(other.Name); rec != nil && rec != s && rec.Open() {
			open++
		}
	}
	return open
}

// Adopt brings the tables in step with a Topology that was put in force. Records of servers that stay are kept, so
// that what was learnt about them survives a configuration change.
func (r *Recorder) Adopt(t *model.Topology, now time.Time) {
	daemons := t.Inventory.MaxInstances + t.Inventory.SurgeInstances
	first := r.Servers.Len() == 0
	minimums := minimumShares(t)
	capacity := make(map[model.ServiceName]*serviceCapacity, len(t.Inventory.Services))
	t.EachServer(func(spec *model.Server) {
		rec := r.adoptServer(spec, daemons, joinTime(first, now))
		rec.SetMinimums(minimums)
		c := capacity[spec.Service]
		if c == nil {
			c = &serviceCapacity{shards: int64(len(t.Service(spec.Service).Shards))}
			capacity[spec.Service] = c
		}
		c.limits.Add(int64(rec.Limit()))
	})
	r.capacity.Store(&capacity)
	r.Servers.Retain(func(name model.ServerName) bool { return t.Server(name) != nil })
	r.adoptRules(t, capacity, now)
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

func sameEndpoint(a, b *model.Server) bool {
	return a.Address == b.Address && a.Connections == b.Connections && a.Service == b.Service && a.Shard == b.Shard
}

func (r *Recorder) adoptRules(t *model.Topology, capacity map[model.ServiceName]*serviceCapacity, now time.Time) {
	r.Budgets.Reset(t.Rules, now)
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
