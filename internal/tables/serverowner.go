package tables

import (
	"oleandersill.example/oleandersill/internal/decision/fairshare"
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

// ownerCache is the owner of a server according to one view of the members.
type ownerCache struct {
	view *OwnerView
	// owner points into view. It is nil if view has no daemon in the server's zone.
	owner *model.Member
}

// Owner returns the daemon that owns the server according to view, or false if view has no daemon in the server's zone.
func (s *Server) Owner(view *OwnerView) (model.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner.view != view {
		members := view.Zones[s.spec.Zone]
		s.owner = ownerCache{view: view}
		if i := ownership.Owner(s.name, members); i >= 0 {
			s.owner.owner = &members[i]
		}
	}
	if s.owner.owner == nil {
		return model.Member{}, false
	}
	return *s.owner.owner, true
}

// AddForwarded adds n to the number of attempts that were forwarded to the server's owner and have not ended. n is negative
// for attempts that ended.
func (s *Server) AddForwarded(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarded += n
}

// SetMinimums sets the minimum shares of the ranks, which determine the order of waiting attempts.
func (s *Server) SetMinimums(m *fairshare.Minimums) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minimums = m
}

// HeldVersions returns the index versions that the server last reported to hold. The caller must not modify the slice.
func (s *Server) HeldVersions() []model.IndexVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldVersions
}

// Idle reports whether no attempt is in flight or waiting.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && s.queued == 0
}
