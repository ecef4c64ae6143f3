package backendhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/httpconn"
)

// cannedReply gives the same bytes as the reply to every request, on a connection of its own.
type cannedReply []byte

func (c cannedReply) RoundTrip(r *http.Request) (*http.Response, error) {
	near, far := net.Pipe()
	_ = far.Close()
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: near})
	}
	return c.parse(r)
}

func (c cannedReply) parse(r *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(c)), r)
}

// statesNotRun tells whether the reply proves, by itself, that the request did not run.
func (c cannedReply) statesNotRun() bool {
	resp, err := c.parse(nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var body struct{ Ran *bool }
	if json.Unmarshal(data, &body) != nil || body.Ran == nil || *body.Ran {
		return false
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusConflict:
		return true
	}
	return false
}

func withHead(status, header, body string) []byte {
	return []byte("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + header + "\r\nConnection: close\r\n\r\n" + body)
}

// FuzzReply guards against a reply that makes the client panic, that is taken for the answer of another attempt, or that
// passes for a proof that the request did not run.
func FuzzReply(f *testing.F) {
	const own = `{"id":{"request_id":"r","instance_start":1,"attempt":2},"shard":"s","result":"x"}`
	const other = `{"id":{"request_id":"r","instance_start":1,"attempt":3},"shard":"s"}`
	f.Add(withHead("200 OK", "r/1/2", own))
	f.Add(withHead("200 OK", "r/1/2", other))
	f.Add(withHead("200 OK", "r/1/2", own+own))
	f.Add(withHead("200 OK", "r/1/3", own))
	f.Add(withHead("200 OK", "r/1/2", "null"))
	f.Add(withHead("429 Too Many Requests", "r/1/2", `{"ran":false,"retry_after_ms":-9223372036854775808}`))
	f.Add(withHead("429 Too Many Requests", "r/1/2", `{}`))
	f.Add(withHead("503 Service Unavailable", "r/1/2", `{"ran":true}`))
	f.Add(withHead("409 Conflict", "r/1/2", `{"ran":false,"retained_versions":[1]}`))
	f.Add(withHead("499 Client Closed Request", "r/1/2", `{"ran":false}`))
	f.Add([]byte("HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/execute\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Attempt-Id: r/1/2\r\n\r\n{"))
	f.Add([]byte("not http"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reply := cannedReply(raw)
		c := &client{
			transport: reply,
			base:      "http://127.0.0.1:1",
			replies:   &httpconn.ReplyLimiter{},
		}
		id := backend.AttemptID{Request: "r", Incarnation: 1, Attempt: 2}
		q := c.Query(context.Background(), backend.QueryRequest{ID: id, Shard: "s"})
		if q.Status == backend.StatusOK && (q.Reply.ID != id || q.Reply.Shard != "s") {
			t.Errorf("took the reply of another attempt: %+v", q.Reply)
		}
		if q.RetryAfter < 0 || q.RetryAfter > time.Minute {
			t.Errorf("retry hint out of bounds: %v", q.RetryAfter)
		}
		x := c.Execute(context.Background(), backend.ExecuteRequest{ID: id})
		for _, s := range []backend.Status{q.Status, x.Status} {
			if s.ProvablyNotRun() && !reply.statesNotRun() {
				t.Errorf("status %v without a statement that the request did not run", s)
			}
		}
	})
}
