package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/fairshare"
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

// ownerCache is the owner of a server according to one view of the members.
type ownerCache struct {
	view *OwnerView
	// ownerOnly is whether only the owner may send to the server.
	ownerOnly bool
	// owner points into view. It is nil if view has no daemon in the server's zone.
	owner *model.Member
}

// Owner returns the daemon that owns the server according to view, or false if view has no daemon in the server's zone. If only
// the owner may send to the server at now, a daemon of another zone owns a server whose zone has none.
func (s *Server) Owner(view *OwnerView, now time.Time) (model.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ownerOnly := s.isOwnerOnly(now)
	if s.owner.view != view || s.owner.ownerOnly != ownerOnly {
		members := view.Zones[s.spec.Zone]
		if len(members) == 0 && ownerOnly {
			members = allMembers(view.Zones)
		}
		s.owner = ownerCache{view: view, ownerOnly: ownerOnly}
		if i := ownership.Owner(s.name, members); i >= 0 {
			s.owner.owner = &members[i]
		}
	}
	if s.owner.owner == nil {
		return model.Member{}, false
	}
	return *s.owner.owner, true
}

// SetOwnerOnly sets whether only the server's owner may send anything to the server, because the server accepts very few
// connections.
func (s *Server) SetOwnerOnly(ownerOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownerOnly = ownerOnly
}

// OwnerOnly reports whether only the server's owner may send anything to the server at now: it accepts very few connections, or is
// limited because it is cold.
func (s *Server) OwnerOnly(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOwnerOnly(now)
}

func (s *Server) isOwnerOnly(now time.Time) bool { return s.ownerOnly || s.isCold(now) }

// TakeOpened reports whether there may be idle connections to the server and none in use. The caller must close them, since the
// next call returns false unless capacity was acquired in between.
func (s *Server) TakeOpened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opened || s.inFlight > 0 {
		return false
	}
	s.opened = false
	return true
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
