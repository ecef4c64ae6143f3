package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// failureWeight is the weight of one attempt in the moving average of a server's failures.
	failureWeight = 0.05
	// A cancelled attempt counts as unanswered if it was pending for at least minUnanswered and at least unansweredFactor
	// times the uncongested latency. A server that only pauses answers sooner.
	minUnanswered    = 150 * time.Millisecond
	unansweredFactor = 4
)

// Observation describes the end of an attempt at a server.
type Observation struct {
	Status backend.Status
	// Latency is the time from sending to the reply. Total also includes the time that the attempt waited before.
	Latency time.Duration
	Total   time.Duration
	// Delayed is how long the reply then waited at the server's owner to be sent together with other replies. The hedge
	// delay includes it.
	Delayed time.Duration
	// Forwarded means that the server's owner sent the attempt, so that its end is no evidence for this daemon's in-flight
	// limit.
	Forwarded bool
	Load      backend.Load
	// RetryAfter is how long the server wants no further attempts; 0 if it did not say.
	RetryAfter time.Duration
	// HeldVersions are the index versions that the server reported to hold, or nil if it made no report.
	HeldVersions []model.IndexVersion
	// Quantile is the hedge rule's quantile, in (0, 1).
	Quantile float64
	// MayEject means that the shard's ejection cap allows one more ejected server.
	MayEject bool
}

// ObservationResult is the effect of an observation.
type ObservationResult struct {
	// LimitDelta is the change of the in-flight limit.
	LimitDelta int
	// Slowdown is the ratio of the attempt's total time to the server's uncongested latency, or 0 without a reply.
	Slowdown float64
}

// Observe records the end of an attempt. If it shows that the server is leaving, the waiting attempts are rejected.
func (s *Server) Observe(o Observation, now time.Time) ObservationResult {
	r := s.record(o, now)
	s.rejectUnsendable()
	return r
}

func (s *Server) record(o Observation, now time.Time) ObservationResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.HeldVersions != nil {
		s.heldVersions = o.HeldVersions
	}
	if o.Load.Draining {
		s.markLeaving(now)
	}
	s.pushback.Observe(o.RetryAfter, now)
	before := s.limit.Limit()
	r := ObservationResult{Slowdown: s.observe(o, now)}
	r.LimitDelta = s.limit.Limit() - before
	return r
}

func (s *Server) observe(o Observation, now time.Time) (slowdown float64) {
	switch o.Status {
	case backend.StatusOK:
		s.health.OnSuccess(now)
		s.observeFailure(0, now)
		s.observeReply(o)
		slowdown = s.limit.Slowdown(o.Total)
		s.quantile.Observe(o.Latency+o.Delayed, o.Quantile)
		s.latency.Observe(o.Latency, s.limit.Baseline(), now)
	case backend.StatusShed:
		if !o.Forwarded {
			s.limit.OnOverload()
		}
		s.health.EndProbe()
	case backend.StatusDraining, backend.StatusReplaced:
		s.markLeaving(now)
		s.health.EndProbe()
	case backend.StatusUnreachable, backend.StatusLost, backend.StatusMismatched, backend.StatusFailed:
		s.health.OnFailure(now, o.MayEject)
		s.observeFailure(1, now)
	case backend.StatusCancelled:
		s.observeCancelled(o, now)
	case backend.StatusDeadlinePassed, backend.StatusVersionNotHeld, backend.StatusOwnerLost,
		backend.StatusBusy, backend.StatusZoneUnreachable, backend.StatusOverBudget:
		s.health.EndProbe()
	}
	return slowdown
}

// observeCancelled records an attempt that was cancelled before its reply. Its latency is a lower bound of the server's. If it
// is much longer than a pause, it is evidence that the server does not answer at all.
func (s *Server) observeCancelled(o Observation, now time.Time) {
	s.latency.ObserveOverdue(o.Latency, s.limit.Baseline(), now)
	if o.Latency < max(minUnanswered, unansweredFactor*s.limit.Baseline()) {
		s.health.EndProbe()
		return
	}
	s.health.OnFailure(now, o.MayEject)
	s.observeFailure(1, now)
}

func (s *Server) observeFailure(failed float64, now time.Time) {
	s.failureRate += (failed - s.failureRate) * failureWeight
	s.lastOutcome = now
}

func (s *Server) observeReply(o Observation) {
	if o.Forwarded {
		s.limit.ObserveLatency(o.Latency)
		return
	}
	s.limit.OnReply(o.Latency, s.inFlight)
}

// ObserveOverdue records that an attempt in progress has been pending for longer than expected.
func (s *Server) ObserveOverdue(elapsed time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.ObserveOverdue(elapsed, s.limit.Baseline(), now)
}
