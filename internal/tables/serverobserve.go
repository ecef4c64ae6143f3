package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// failureWeight is the weight of one attempt in a server's failure rate.
	failureWeight = 0.05
	// unansweredAfter and unansweredFactor, times the uncongested latency, are the least time after which a cancelled attempt
	// counts as unanswered; a server that pauses answers sooner.
	unansweredAfter  = 150 * time.Millisecond
	unansweredFactor = 4
)

// Observation is what an attempt showed about its server.
type Observation struct {
	Status backend.Status
	// Latency is the time from sending to the reply, and Total the time that the attempt waited before as well.
	Latency time.Duration
	Total   time.Duration
	// Delayed is how long the reply then waited at the server's owner for others, for which a hedge waits as well.
	Delayed time.Duration
	// Forwarded tells that the server's owner sent the attempt, so that its end says nothing about this daemon's limit.
	Forwarded bool
	Load      backend.Load
	// HeldVersions lists the index versions that the server said it holds; nil if it said nothing.
	HeldVersions []model.IndexVersion
	// Quantile is the hedge rule's quantile, in (0, 1).
	Quantile float64
	// MayEject tells whether the shard's ejection cap leaves room for one more.
	MayEject bool
}

// ObservationResult is what an observation changed.
type ObservationResult struct {
	// LimitDelta is the change of the in-flight limit.
	LimitDelta int
	// Slowdown is the ratio of the attempt's latency to the server's uncongested one; 0 without a reply.
	Slowdown float64
}

// Observe records the end of an attempt.
func (s *Server) Observe(o Observation, now time.Time) ObservationResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.HeldVersions != nil {
		s.held = o.HeldVersions
	}
	before := s.limit.Limit()
	f := ObservationResult{Slowdown: s.observe(o, now)}
	f.LimitDelta = s.limit.Limit() - before
	return f
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
		if o.Load.Draining {
			s.markLeaving(now)
		}
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

// observeCancelled takes an attempt that was cancelled before its reply came: it took at least as long as it did, and one
// that took much longer than a pause is evidence of a server that does not answer at all.
func (s *Server) observeCancelled(o Observation, now time.Time) {
	s.latency.ObserveOverdue(o.Latency, s.limit.Baseline(), now)
	if o.Latency < max(unansweredAfter, unansweredFactor*s.limit.Baseline()) {
		s.health.EndProbe()
		return
	}
	s.health.OnFailure(now, o.MayEject)
	s.observeFailure(1, now)
}

func (s *Server) observeFailure(failed float64, now time.Time) {
	s.failures += (failed - s.failures) * failureWeight
	s.attempted = now
}

func (s *Server) observeReply(o Observation) {
	if o.Forwarded {
		s.limit.Note(o.Latency)
		return
	}
	s.limit.OnReply(o.Latency, s.inFlight)
}

// ObserveOverdue records that an attempt has been pending for longer than was expected, before it ends.
func (s *Server) ObserveOverdue(elapsed time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.ObserveOverdue(elapsed, s.limit.Baseline(), now)
}
