package backendserver

import "oleandersill.example/oleandersill/internal/model"

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.UpdateFaults(func(current *Faults) { *current = f }) }

// UpdateFaults changes the faults in force. change must not keep its argument.
func (s *Server) UpdateFaults(change func(*Faults)) { s.state.update(change, s.actualLoad()) }

// SetVersion makes v the current index version and retains that many of the previous ones.
func (s *Server) SetVersion(v model.IndexVersion, retain int) { s.state.setVersion(v, retain) }

// Repartition makes the server hold a shard of another shard map. It goes on answering requests for that many of the
// earlier shard maps. A request for the held shard under an unknown epoch is answered under the current one.
func (s *Server) Repartition(shard model.ShardName, epoch model.ShardMapEpoch, retain int) {
	s.state.repartition(holding{shard: shard, epoch: epoch}, retain)
}

// Crash closes the listener, cuts all connections and ends all requests.
func (s *Server) Crash() {
	s.queue.stopAll(EndCrashed)
	s.endpoint.Close()
}

// Restart serves again on the same address after a crash, cold. Faults, versions and the record stay.
func (s *Server) Restart() error {
	s.state.restart()
	return s.endpoint.Open("")
}
