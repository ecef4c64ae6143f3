package report

import (
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/coldstart"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Recorder records the results of attempts in the tables. It implements dispatch.Observer.
type Recorder struct {
	Config     *tables.Config
	Servers    *tables.Servers
	Admissions *tables.Admissions
	Budgets    *tables.Budgets
	Connector  backend.Connector
	Policy     model.Policy
	// Cold is the allowance of the rates of cold servers. The zero value means that they are not limited.
	Cold coldstart.Allowance
	// OnJoin, if set, is called with the record of each server that joins or changes its endpoint, unless the server is leaving
	// or accepts fewer connections than there may be daemons.
	OnJoin func(*tables.Server)
	// OnDraining, if set, is called with the record of a server for each answer that reports that it is draining.
	OnDraining func(*tables.Server)

	capacity atomic.Pointer[map[model.ServiceName]*serviceCapacity]
	// applied is the Topology that the tables correspond to. Only ApplyTopology uses it.
	applied appliedTopology
	// removed holds the removed servers that want no requests yet. Only ApplyTopology uses it.
	removed map[model.ServerName]removedServer
}

// removedServer is a server whose record was removed, and until when it wants no requests.
type removedServer struct {
	spec      *model.Server
	restUntil time.Time
}

// serviceCapacity is the sum of a service's in-flight limits. It is updated incrementally, so that the cost of an observation
// does not depend on the number of servers.
type serviceCapacity struct {
	shards int64
	limits atomic.Int64
}

func (c *serviceCapacity) admissionLimit() int { return max(1, int(c.limits.Load()/max(1, c.shards))) }

// ObserveAttempt records the result of an attempt and returns its slowdown.
func (r *Recorder) ObserveAttempt(s *tables.Server, a dispatch.AttemptResult) float64 {
	if r.Policy == model.PolicyBaseline {
		return 0
	}
	r.reportDraining(s, a.Status, a.Load)
	t := r.Config.Current()
	o := tables.Observation{
		Status:       a.Status,
		Latency:      a.Latency,
		Total:        a.Total,
		Delayed:      a.Delayed,
		Forwarded:    a.Forwarded,
		Load:         a.Load,
		RetryAfter:   a.RetryAfter,
		HeldVersions: a.Held,
		Quantile:     t.Rules.Hedge.Quantile,
		// Whether a server may be ejected depends on the shard's other servers, which are checked only after a failure.
		MayEject: a.Status != backend.StatusOK && r.mayEject(t, s),
	}
	result := s.Observe(o, time.Now())
	if result.LimitDelta != 0 {
		r.adjustCapacity(s.Spec().Service, result.LimitDelta)
	}
	return result.Slowdown
}

func (r *Recorder) reportDraining(s *tables.Server, status backend.Status, load backend.Load) {
	if r.OnDraining != nil && (status == backend.StatusDraining || load.Draining) {
		r.OnDraining(s)
	}
}

func (r *Recorder) adjustCapacity(service model.ServiceName, delta int) {
	c := (*r.capacity.Load())[service]
	if c == nil {
		return
	}
	before := c.admissionLimit()
	c.limits.Add(int64(delta))
	if after := c.admissionLimit(); after != before {
		r.Admissions.SetLimit(service, after)
	}
}

// mayEject reports whether another server of the shard is in use, so that this one may be ejected.
func (r *Recorder) mayEject(t *model.Topology, s *tables.Server) bool {
	svc := t.Service(s.Spec().Service)
	if svc == nil {
		return false
	}
	for _, sh := range svc.Shards {
		if sh.Name == s.Spec().Shard {
			return r.hasOtherInUse(sh, s)
		}
	}
	return false
}

func (r *Recorder) hasOtherInUse(sh *model.Shard, s *tables.Server) bool {
	for _, other := range sh.Servers {
		if rec := r.Servers.Get(other.Name); rec != nil && rec != s && rec.AcceptsWork() {
			return true
		}
	}
	return false
}
