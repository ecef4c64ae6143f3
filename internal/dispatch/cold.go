package dispatch

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// takeColdToken takes a token for an attempt if the server is cold and limited, and reports whether the attempt may be sent. Only the
// daemons that may grant tokens for the server have any. Another daemon may hold the attempt because the server turned cold after
// the attempt was queued, or because the daemon that forwarded it has another view of the members.
func (d *Dispatcher) takeColdToken(s *tables.Server, rank model.Rank) bool {
	now := time.Now()
	if !s.Cold(now) {
		return true
	}
	f := d.forwarding
	if f != nil && !s.MayGrant(f.owners.View(), f.self.Instance) {
		return false
	}
	return s.TakeColdToken(rank, now)
}

// recordColdness records until when a server is cold according to a health reply that arrived at now. A reply that comes from
// another server at the address says nothing.
func recordColdness(s *tables.Server, h backend.Health, now time.Time) {
	if h.Serving || h.ColdRemaining > 0 {
		s.SetCold(now.Add(h.ColdRemaining))
	}
}
