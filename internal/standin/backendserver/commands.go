package backendserver

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/backend/backendhttp"
)

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	var body backendhttp.ExecuteBody
	if !decode(w, r, &body) {
		return
	}
	if body.Key == "" {
		writeJSON(w, http.StatusBadRequest, backendhttp.RefusalBody{Reason: "missing_key"})
		return
	}
	x := s.exchange(w, r, body.ID)
	if !x.admit(body.DeadlineMs) {
		return
	}
	exec := Execution{Server: s.cfg.Name, Attempt: body.ID, Shard: body.Shard, Key: body.Key}
	if !x.runJob(newJob(exec, deadlineOf(body.DeadlineMs))) {
		return
	}
	fault, id := s.state.drawReplyFault(body.ID)
	x.reply(fault, id, backendhttp.ExecuteReplyBody{
		ID: id, Result: ResultOf(body.Key, body.Body), Load: s.state.load(s.actualLoad()),
	})
}

// ResultOf returns the result of a non-idempotent request with the given idempotency key and body.
func ResultOf(key, body string) string { return "done " + key + " " + body }

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var body backendhttp.CancelBody
	if !decode(w, r, &body) {
		return
	}
	x := s.exchange(w, r, body.ID)
	if !x.applyNetworkFaults() {
		return
	}
	if !s.queue.stopAttempt(body.ID, EndCancelled) {
		x.refuse(http.StatusNotFound, backendhttp.RefusalBody{Reason: "unknown_attempt"})
		return
	}
	x.reply(replyIntact, body.ID, struct{}{})
}
