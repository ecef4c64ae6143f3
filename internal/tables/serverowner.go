package tables

import (
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/decision/share"
	"oleandersill.example/oleandersill/internal/model"
)

// ownerCache is the owner of a server by one view of the members.
type ownerCache struct {
	view *OwnerView
	// owner points into view; it is nil if the server's zone has no daemon.
	owner *model.Member
}

// Owner returns the daemon that owns the server by the given view, or false if the server's zone has no daemon.
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

// AddForwarded counts attempts that were forwarded to the server's owner, or with -1 one that ended.
func (s *Server) AddForwarded(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarded += n
}

// SetMinimums sets the minimum shares by which waiting attempts are ordered.
func (s *Server) SetMinimums(m *share.Minimums) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minimums = m
}

// HeldVersions returns the index versions that the server last said it holds. The caller must not change the slice.
func (s *Server) HeldVersions() []model.IndexVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Idle tells whether no attempt is in flight or waiting.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && s.queued == 0
}
