package follow

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// The ways by which a daemon learns that a server is leaving, as logged.
const (
	leavingByReply = "reply"
	leavingByPeer  = "peer"
)

// ServerLeaving records that a server stated in a reply to this daemon that it is leaving. Daemons that follow this one
// learn it at once, and the daemon that this one follows with the next call to it.
func (f *Follower) ServerLeaving(s *tables.Server) {
	spec := s.Spec()
	f.markLeaving([]model.LeavingServer{{Server: spec.Name, Started: spec.Started}}, leavingByReply)
}

// ObserveLeaving records the servers that another daemon reported to be leaving.
func (f *Follower) ObserveLeaving(servers []model.LeavingServer) {
	f.markLeaving(servers, leavingByPeer)
}

// markLeaving marks servers as leaving, both in the registry, which outlives their records, and in their records, so that
// queued attempts are not sent to them.
func (f *Follower) markLeaving(servers []model.LeavingServer, source string) {
	if len(servers) == 0 {
		return
	}
	now := time.Now()
	for _, s := range f.deps.Registry.MarkLeaving(servers, now) {
		if record := f.deps.Servers.Get(s.Server); record != nil && record.Spec().Started == s.Started {
			record.MarkLeaving(now)
		}
		f.deps.Log.Info().Str("server", string(s.Server)).Int64("started", s.Started).Str("source", source).Msg("server_leaving")
	}
}

// leavingExchange is which leaving marks were exchanged with the daemon that is followed.
type leavingExchange struct {
	peer        model.InstanceID
	incarnation model.Incarnation
	// sent and received are the sequence numbers, here and at the peer, up to which marks were exchanged.
	sent     directory.LeavingSequence
	received directory.LeavingSequence
}

// with starts over if the peer is another daemon, or another run of it, than before.
func (e *leavingExchange) with(peer model.Member) {
	if e.peer != peer.Instance || e.incarnation != peer.Incarnation {
		*e = leavingExchange{peer: peer.Instance, incarnation: peer.Incarnation}
	}
}
