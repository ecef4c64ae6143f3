package backendserver

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/backend/backendhttp"
)

func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	var body backendhttp.QueryBody
	if !decode(w, r, &body) {
		return
	}
	x := s.exchange(w, r, body.ID)
	if !x.admit(body.DeadlineMs) {
		return
	}
	held, version, retained, ok := s.state.resolve(body.Shard, body.Epoch, body.WantVersion)
	if !ok {
		x.refuse(http.StatusConflict, backendhttp.RefusalBody{Reason: "not_held", Retained: retained})
		return
	}
	exec := Execution{
		Server: s.cfg.Name, Attempt: body.ID, Shard: held.shard, Epoch: held.epoch, Version: version,
	}
	if !x.runJob(newJob(exec, deadlineOf(body.DeadlineMs))) {
		return
	}
	content := Content{Shard: held.shard, Epoch: held.epoch, Version: version, Text: body.Text, Items: s.cfg.Items}
	reply := backendhttp.QueryReplyBody{
		Shard: held.shard, Epoch: held.epoch, Version: version, Retained: retained,
		Items: s.state.items(content, body.Limit), Load: s.state.load(s.actualLoad()),
	}
	fault, id := s.state.drawReplyFault(body.ID)
	reply.ID = id
	x.reply(fault, id, reply)
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if s.applyNetworkFaults(r) {
		writeJSON(w, http.StatusOK, s.state.health())
	}
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	if s.applyNetworkFaults(r) {
		writeJSON(w, http.StatusOK, s.state.load(s.actualLoad()))
	}
}
