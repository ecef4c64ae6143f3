package dispatch

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// takeColdToken reports whether an attempt may be sent now as far as the limit of cold servers is concerned. Only the
// daemons that may be owners of a cold server have tokens: another one may hold the attempt because the server turned cold after the
// attempt was queued, or because the daemon that forwarded it has another view of the members.
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
