package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/decision/fairshare"
	"oleandersill.example/oleandersill/internal/decision/limit"
	"oleandersill.example/oleandersill/internal/decision/pushback"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

var noMinimums fairshare.Minimums

// Server is the record of one backend server. Capacity is acquired and released in units of one attempt in flight.
// Invariants: inFlight never grows beyond the connection budget, and an attempt waits only while inFlight is at the in-flight
// limit. Owners: dispatch (attempts in flight and waiting), command/report (everything else).
type Server struct {
	mu     lockorder.Mutex
	name   model.ServerName
	spec   *model.Server
	client backend.Server
	budget int
	// ownerOnly means that only the server's owner may send anything to the server. opened means that there may be connections.
	ownerOnly bool
	opened    bool
	inFlight  int
	limit     limit.Adaptive
	// queue is nil until an attempt waits. A daemon has records of all servers, but attempts wait at few of them.
	queue    *serverQueue
	queued   int
	minimums *fairshare.Minimums
	// forwarded counts the attempts that this daemon forwarded to the server's owner and that have not ended.
	forwarded int
	owner     ownerCache
	// cold is nil unless the server is limited while it is cold.
	cold     *coldState
	health   routing.Health
	pushback pushback.Window
	latency  routing.LatencyEstimator
	// failureRate is the moving average of failed attempts, and lastOutcome the time of the last attempt that it counts.
	failureRate float64
	// heldVersions are the index versions that the server last reported to hold.
	heldVersions []model.IndexVersion
	lastOutcome  time.Time
	quantile     budget.Quantile
	joined       time.Time
	leaving      time.Time
	// retired means that no attempt may be sent any longer, because the record was removed from the table or replaced.
	retired bool
	// reportedEjected is the ejection state that TakeEjectionChange last reported.
	reportedEjected bool
}

// NewServer returns the record of a server. client and connections are its client and connection budget; its ramp-up starts
// at joined.
func NewServer(spec *model.Server, client backend.Server, connections int, joined time.Time) *Server {
	return &Server{
		mu:       lockorder.New(OrderServer),
		minimums: &noMinimums,
		name:     spec.Name,
		spec:     spec,
		client:   client,
		budget:   connections,
		limit:    limit.NewAdaptive(connections, connections),
		joined:   joined,
	}
}

// Client returns the server's client.
func (s *Server) Client() backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// Budget returns the number of connections that this daemon may hold to the server.
func (s *Server) Budget() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget
}

// SetBudget replaces the connection budget and the client, which must be limited to that budget, and returns the old client.
// More attempts than the new budget may be in flight until they end.
func (s *Server) SetBudget(connections int, client backend.Server) (before backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, s.client = s.client, client
	s.budget = connections
	s.limit.SetCeiling(connections)
	return before
}

// Spec returns the server's entry in the latest Topology that contained it.
func (s *Server) Spec() *model.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spec
}

// SetSpec replaces the server's entry. Name, service, shard and address must not change. If the server is leaving, the waiting
// attempts are rejected.
func (s *Server) SetSpec(spec *model.Server) {
	s.mu.Lock()
	s.spec = spec
	s.mu.Unlock()
	s.rejectUnsendable()
}

// Name returns the server's name.
func (s *Server) Name() model.ServerName { return s.name }

// FillCandidate sets the fields of c that describe the state of the server, but not its location.
func (s *Server) FillCandidate(c *routing.Candidate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Server = s.spec
	c.Pending = s.inFlight + s.queued + s.forwarded
	c.Limit = s.limit.Limit()
	c.Slots = s.spec.Slots
	c.Latency = s.latency.Estimate(s.limit.Baseline(), now)
	c.FailureRate = routing.DecayFailureRate(s.failureRate, now.Sub(s.lastOutcome))
	c.RampUpFraction = routing.RampUpFraction(s.joined, now)
	c.Pushback = s.pushback.Remaining(now)
	c.Leaving = s.isLeaving()
	c.ColdLimited = s.isCold(now)
	open := !c.Leaving && !s.retired && c.Pushback == 0 && s.budget > 0
	c.Usable = open && !s.health.Ejected()
	c.Probe = open && s.health.ProbeDue(now)
}

// Pushback returns how much longer the server wants no attempts from this daemon, or 0.
func (s *Server) Pushback(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pushback.Remaining(now)
}

// SetPushback records that the server wants no attempts from this daemon for the given time from now on.
func (s *Server) SetPushback(d time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushback.Observe(d, now)
}

// StartProbe records that a probe is sent to the ejected server.
func (s *Server) StartProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.StartProbe()
}

// EndProbe records that the probe ended without evidence about the server, so that another one may be sent.
func (s *Server) EndProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.EndProbe()
}

// Limit returns the in-flight limit.
func (s *Server) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Limit()
}

// AcceptsWork reports whether the server may get new work: it is neither leaving nor removed nor ejected.
func (s *Server) AcceptsWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isLeaving() && !s.retired && !s.health.Ejected()
}

// Leaving reports whether the server is leaving, as observed, reported by a peer or stated by the inventory.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving()
}

func (s *Server) isLeaving() bool { return !s.leaving.IsZero() || s.spec.Leaving }

// Sendable reports whether attempts may be sent to the server: it is not leaving, and its record is in use.
func (s *Server) Sendable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isLeaving() && !s.retired
}

// Retire records that the record was removed from the table or replaced, and rejects the waiting attempts. The state of the
// server is unknown from then on, so no attempt may be sent.
func (s *Server) Retire() {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
	s.rejectUnsendable()
}

// HedgeDelay returns the observed latency quantile of the server, or 0 without observations.
func (s *Server) HedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quantile.Value()
}

// MarkLeaving records that the server is leaving, unless that is recorded already, and rejects the waiting attempts.
func (s *Server) MarkLeaving(now time.Time) {
	s.mu.Lock()
	s.markLeaving(now)
	s.mu.Unlock()
	s.rejectUnsendable()
}

func (s *Server) markLeaving(now time.Time) {
	if s.leaving.IsZero() {
		s.leaving = now
	}
}

// ClearLeaving records that the server is back in service and starts its ramp-up.
func (s *Server) ClearLeaving(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = time.Time{}
	s.joined = now
}
