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

// cannedReply is a transport that replies to every request with the same bytes, on a new connection each time.
type cannedReply []byte

func (c cannedReply) RoundTrip(r *http.Request) (*http.Response, error) {
	clientConn, serverConn := net.Pipe()
	_ = serverConn.Close()
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: clientConn})
	}
	return c.parse(r)
}

func (c cannedReply) parse(r *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(c)), r)
}

// statesNotRun reports whether the reply itself states that the request did not run.
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

func rawReply(status, attempt, body string) []byte {
	return []byte("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt + "\r\nConnection: close\r\n\r\n" + body)
}

// FuzzReply guards against a reply that makes the client panic, that is accepted for another attempt, or that is wrongly
// treated as a proof that the request did not run.
func FuzzReply(f *testing.F) {
	const own = `{"id":{"request_id":"r","instance_start":1,"attempt":2},"shard":"s","result":"x"}`
	const other = `{"id":{"request_id":"r","instance_start":1,"attempt":3},"shard":"s"}`
	f.Add(rawReply("200 OK", "r/1/2", own))
	f.Add(rawReply("200 OK", "r/1/2", other))
	f.Add(rawReply("200 OK", "r/1/2", own+own))
	f.Add(rawReply("200 OK", "r/1/3", own))
	f.Add(rawReply("200 OK", "r/1/2", "null"))
	f.Add(rawReply("429 Too Many Requests", "r/1/2", `{"ran":false,"retry_after_ms":-9223372036854775808}`))
	f.Add(rawReply("429 Too Many Requests", "r/1/2", `{}`))
	f.Add(rawReply("503 Service Unavailable", "r/1/2", `{"ran":true}`))
	f.Add(rawReply("409 Conflict", "r/1/2", `{"ran":false,"retained_versions":[1]}`))
	f.Add(rawReply("499 Client Closed Request", "r/1/2", `{"ran":false}`))
	f.Add([]byte("HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/execute\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Attempt-Id: r/1/2\r\n\r\n{"))
	f.Add([]byte("not http"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reply := cannedReply(raw)
		c := &client{
			transport: reply,
			baseURL:   "http://127.0.0.1:1",
			limiter:   &httpconn.ReplyLimiter{},
		}
		id := backend.AttemptID{Request: "r", Incarnation: 1, Attempt: 2}
		q := c.Query(context.Background(), backend.QueryRequest{ID: id, Shard: "s"})
		if q.Status == backend.StatusOK && (q.Reply.ID != id || q.Reply.Shard != "s") {
			t.Errorf("accepted the reply to another attempt: %+v", q.Reply)
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
