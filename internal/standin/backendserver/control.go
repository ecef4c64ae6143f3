package backendserver

import "oleandersill.example/oleandersill/internal/model"

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) { s.UpdateFaults(func(current *Faults) { *current = f }) }

// UpdateFaults lets change modify the active faults. change is called with a lock of the server held: it must not call the
// methods of the server or keep its argument.
func (s *Server) UpdateFaults(change func(*Faults)) { s.state.update(change, s.actualLoad()) }

// SetVersion makes v the current index version and keeps up to retain previous ones.
func (s *Server) SetVersion(v model.IndexVersion, retain int) { s.state.setVersion(v, retain) }

// Repartition makes the server hold a shard under another shard map. The server keeps answering requests under up to
// retain previous shard maps. A request for a held shard under an unknown epoch is answered under the newest shard map in
// which the server holds that shard.
func (s *Server) Repartition(shard model.ShardName, epoch model.ShardMapEpoch, retain int) {
	s.state.repartition(heldShard{shard: shard, epoch: epoch}, retain)
}

// Crash closes the listener and all connections and stops all requests.
func (s *Server) Crash() {
	s.queue.stopAll(EndCrashed)
	s.endpoint.Close()
}

// Restart makes a crashed server serve on the same address again. The server is cold; faults, shards, versions and the
// record are kept. It returns netfault.ErrOpen if the server has not crashed.
func (s *Server) Restart() error {
	s.state.restart()
	return s.endpoint.Open("")
}
