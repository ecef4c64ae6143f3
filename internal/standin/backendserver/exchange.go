package backendserver

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/pool"
)

const (
	maxBodyBytes = 1 << 20
	// statusClientClosedRequest is the status of a request that was cancelled, as nginx uses it.
	statusClientClosedRequest = 499
)

// exchange is an HTTP request of an attempt with its response.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	id     backend.AttemptID
}

func (s *Server) exchange(w http.ResponseWriter, r *http.Request, id backend.AttemptID) *exchange {
	return &exchange{server: s, w: w, r: r, id: id}
}

// applyNetworkFaults applies the network faults to the request and reports whether it is to be handled.
func (x *exchange) applyNetworkFaults() bool {
	f := x.server.state.current()
	if f.Silent || f.cutsOff(x.id) {
		<-x.r.Context().Done()
		return false
	}
	return pool.Sleep(x.r.Context(), f.Latency)
}

// admit applies the network faults, refuses the request if the server is draining or the deadline has passed, and reports
// whether the request is to be handled.
func (x *exchange) admit(deadlineMs int64) bool {
	if !x.applyNetworkFaults() {
		return false
	}
	if x.server.state.current().Draining {
		x.refuse(http.StatusServiceUnavailable, backendhttp.RefusalBody{Reason: "draining"})
		return false
	}
	deadline := deadlineOf(deadlineMs)
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		x.refuse(http.StatusRequestTimeout, backendhttp.RefusalBody{Reason: "deadline_passed"})
		return false
	}
	return true
}

// runJob queues a job, waits for its end and reports whether it completed. If not, it sends the response or aborts the
// connection.
func (x *exchange) runJob(j *job) bool {
	q := x.server.queue
	if !q.push(j) {
		x.refuse(http.StatusTooManyRequests, backendhttp.RefusalBody{
			Reason: "shed", RetryAfterMs: x.server.cfg.RetryAfter.Milliseconds(),
		})
		return false
	}
	select {
	case <-j.done:
	case <-x.r.Context().Done():
		q.stop(j, EndCut)
		<-j.done
	}
	end, started := q.result(j)
	switch end {
	case EndCompleted:
		return true
	case EndCancelled:
		x.refuse(statusClientClosedRequest, backendhttp.RefusalBody{Reason: "cancelled", Ran: started})
	case EndDeadline:
		x.refuse(http.StatusRequestTimeout, backendhttp.RefusalBody{Reason: "deadline_passed", Ran: started})
	case EndCut, EndCrashed, EndRunning:
		panic(http.ErrAbortHandler)
	}
	return false
}

func (x *exchange) refuse(status int, body backendhttp.RefusalBody) {
	x.write(status, x.id, body)
}

// reply sends the reply to a request that ran, with the given fault. id is the attempt ID that the reply carries.
func (x *exchange) reply(fault replyFault, id backend.AttemptID, body any) {
	switch fault {
	case replyLost:
		panic(http.ErrAbortHandler)
	case replyFailed:
		x.write(http.StatusInternalServerError, id, backendhttp.RefusalBody{Reason: "failed", Ran: true})
	case replyLate:
		if pool.Sleep(x.r.Context(), x.server.state.current().LateBy) {
			x.write(http.StatusOK, id, body)
		}
	case replyDuplicated:
		x.writeTwice(id, body)
	case replyIntact, replyCrossed:
		x.write(http.StatusOK, id, body)
	}
}

func (x *exchange) write(status int, id backend.AttemptID, body any) {
	if !pool.Sleep(x.r.Context(), x.server.state.current().Latency) {
		return
	}
	x.w.Header().Set(backendhttp.HeaderAttempt, backendhttp.AttemptHeader(id))
	writeJSON(x.w, status, body)
}

// writeTwice sends the reply, and sends it again as the reply to the next request on the connection. It then closes the
// connection.
func (x *exchange) writeTwice(id backend.AttemptID, body any) {
	conn, buffered, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	encoded := encode(body)
	if writeRaw(conn, id, encoded) != nil {
		return
	}
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, next.Body); err == nil {
		// The error is irrelevant because the connection is closed next.
		_ = writeRaw(conn, id, encoded)
	}
}

func writeRaw(w io.Writer, id backend.AttemptID, body []byte) error {
	resp := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		Header:        http.Header{},
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
	}
	resp.Header.Set("Content-Type", "application/json")
	resp.Header.Set(backendhttp.HeaderAttempt, backendhttp.AttemptHeader(id))
	return resp.Write(w)
}

// applyNetworkFaults applies the network faults to a health or load request, with the latency of both directions, and
// reports whether the request is to be answered. Faults.CutOff does not apply to these requests.
func (s *Server) applyNetworkFaults(r *http.Request) bool {
	f := s.state.current()
	if f.Silent {
		<-r.Context().Done()
		return false
	}
	return pool.Sleep(r.Context(), 2*f.Latency)
}

// deadlineOf converts a deadline in Unix milliseconds. It returns the zero time if there is none.
func deadlineOf(ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// decode decodes the body, or answers with 400 and returns false. It reads the whole body because net/http detects only
// then that the client has closed its connection.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, backendhttp.RefusalBody{Reason: "bad_request"})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the client has disconnected.
	_, _ = w.Write(encode(body))
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("backendserver: reply cannot be encoded: " + err.Error())
	}
	return b
}
