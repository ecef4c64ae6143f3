package report

import (
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

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
	// OnDraining is told of each drain answer, unless it is nil.
	OnDraining func(model.ServerName)

	capacity atomic.Pointer[map[model.ServiceName]*serviceCapacity]
	// adopted is what the tables are in step with. Only Adopt uses it.
	adopted adopted
}

// serviceCapacity is the sum of a service's in-flight limits, kept by increments so that an observation costs the same
// at any number of servers.
type serviceCapacity struct {
	shards int64
	limits atomic.Int64
}

func (c *serviceCapacity) admitted() int { return max(1, int(c.limits.Load()/max(1, c.shards))) }

// ObserveAttempt records the end of an attempt and returns its slowdown.
func (r *Recorder) ObserveAttempt(s *tables.Server, a dispatch.AttemptResult) float64 {
	if r.Policy == model.PolicyBaseline {
		return 0
	}
	r.noticeDraining(s, a.Status, a.Load)
	t := r.Config.Current()
	o := tables.Observation{
		Status:       a.Status,
		Latency:      a.Latency,
		Total:        a.Total,
		Delayed:      a.Delayed,
		Forwarded:    a.Forwarded,
		Load:         a.Load,
		HeldVersions: a.Held,
		Quantile:     t.Rules.Hedge.Quantile,
		// Whether a server may be ejected depends on the shard's others, which are looked at only when one fails.
		MayEject: a.Status != backend.StatusOK && r.mayEject(t, s),
	}
	finding := s.Observe(o, time.Now())
	if finding.LimitDelta != 0 {
		r.changeCapacity(s.Spec().Service, finding.LimitDelta)
	}
	return finding.Slowdown
}

func (r *Recorder) noticeDraining(s *tables.Server, status backend.Status, load backend.Load) {
	if r.OnDraining != nil && (status == backend.StatusDraining || load.Draining) {
		r.OnDraining(s.Name())
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
		if rec := r.Servers.Get(other.Name); rec != nil && rec != s && rec.AcceptsWork() {
			open++
		}
	}
	return open
}
