package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/coldstart"
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

// coldState is the state of a server that is limited while it is cold. The server's entry states a time of its own, in the spec.
type coldState struct {
	allowance coldstart.Allowance
	rate      float64
	limiter   coldstart.Limiter
	// until is when the server is warm according to its last health reply.
	until time.Time
}

// SetColdAllowance sets by how much attempts may exceed the rate that the server's spec states while the server is cold. It must be
// called again after the spec changed.
func (s *Server) SetColdAllowance(a coldstart.Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.spec.ColdRate
	switch {
	case !a.Limits(rate):
		s.cold = nil
	case s.cold == nil:
		s.cold = &coldState{allowance: a, rate: rate, limiter: coldstart.New(a, rate)}
	case s.cold.allowance != a || s.cold.rate != rate:
		s.cold.allowance, s.cold.rate = a, rate
		s.cold.limiter.Configure(a, rate)
	}
}

// SetCold records until when the server is cold according to a health reply. It has no effect on a server without a limit.
func (s *Server) SetCold(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold != nil {
		s.cold.until = until
	}
}

// Cold reports whether the server is cold and limited for that reason.
func (s *Server) Cold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCold(now)
}

func (s *Server) isCold(now time.Time) bool {
	return s.cold != nil && (now.Before(s.spec.ColdUntil) || now.Before(s.cold.until))
}

// TakeColdToken removes a token for an attempt of the given rank from the server's limiter and reports whether there was one.
func (s *Server) TakeColdToken(rank model.Rank, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold == nil || s.cold.limiter.Take(rank, now)
}

// MayGrant reports whether a daemon may grant tokens for the server: it ranks first or second among the members of the server's
// zone or, if the zone has none, among all. Members that a daemon avoids count too, so that the number of daemons that grant tokens
// does not depend on which of them reach each other. A daemon that knows no members grants its own.
func (s *Server) MayGrant(view *OwnerView, self model.InstanceID) bool {
	members := view.Members[s.Spec().Zone]
	if len(members) == 0 {
		members = allMembers(view.Members)
	}
	for _, i := range ownership.HighestRanked(string(s.name), members, coldstart.MaxGranters) {
		if members[i].Instance == self {
			return true
		}
	}
	return len(members) == 0
}
