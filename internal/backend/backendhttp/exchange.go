package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/httpconn"
)

const (
	// statusClientClosed is the widely used, non-standard status of a request that its client cancelled.
	statusClientClosed = 499
	maxRetryAfter      = time.Minute
	// maxPooledBufferBytes is the maximum capacity of a buffer that is returned to replyBuffers.
	maxPooledBufferBytes = 64 << 10
)

// replyBuffers holds buffers for reuse by further replies.
var replyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// exchange is one request with its reply. The caller of post sets id and matches.
type exchange struct {
	id backend.AttemptID
	// matches reports whether the decoded reply is for the attempt.
	matches func() bool
	// conn tracks the connection of the request.
	conn httpconn.Tracker
}

// post sends one request and decodes its reply. It never sets an Idempotency-Key header, because net/http would then resend
// the request after a connection failure, and a non-idempotent request could run twice.
func (c *client) post(ctx context.Context, path string, x *exchange, body, into any) (backend.Status, RefusalBody) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("backendhttp: message cannot be encoded: " + err.Error())
	}
	template, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, x.conn.Trace(AttemptHeader(x.id))), http.MethodPost, c.baseURL+path, nil)
	if err != nil {
		return backend.StatusUnreachable, RefusalBody{}
	}
	template.Header.Set("Content-Type", "application/json")
	template.ContentLength = int64(len(encoded))
	defer x.conn.End()
	resp, err := x.conn.RoundTrip(c.transport, func() *http.Request {
		req := template.WithContext(template.Context())
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(encoded)), nil }
		req.Body, _ = req.GetBody()
		return req
	})
	if err != nil {
		return x.conn.FailureStatus(ctx), RefusalBody{}
	}
	defer closeBody(resp.Body)
	if resp.Header.Get(HeaderAttempt) != AttemptHeader(x.id) {
		x.conn.CloseConn()
		return backend.StatusMismatched, RefusalBody{}
	}
	if resp.StatusCode != http.StatusOK {
		x.conn.Accept()
		return c.decodeRefusal(ctx, x, resp)
	}
	if err := c.readJSON(resp, into); err != nil {
		return x.conn.FailureStatus(ctx), RefusalBody{}
	}
	if !x.matches() {
		x.conn.CloseConn()
		return backend.StatusMismatched, RefusalBody{}
	}
	x.conn.Accept()
	return backend.StatusOK, RefusalBody{}
}

// decodeRefusal decodes a reply whose status is not 200. Only an explicit "ran": false proves that the server did not run the
// request.
func (c *client) decodeRefusal(ctx context.Context, x *exchange, resp *http.Response) (backend.Status, RefusalBody) {
	var body struct {
		RefusalBody
		Ran *bool `json:"ran"`
	}
	if err := c.readJSON(resp, &body); err != nil {
		return x.conn.FailureStatus(ctx), RefusalBody{}
	}
	body.RefusalBody.Ran = body.Ran == nil || *body.Ran
	return refusalStatus(resp.StatusCode, body.RefusalBody), body.RefusalBody
}

func refusalStatus(code int, refusal RefusalBody) backend.Status {
	if code == statusClientClosed {
		return backend.StatusCancelled
	}
	if refusal.Ran {
		return backend.StatusFailed
	}
	switch code {
	case http.StatusTooManyRequests:
		return backend.StatusShed
	case http.StatusServiceUnavailable:
		return backend.StatusDraining
	case http.StatusRequestTimeout:
		return backend.StatusDeadlinePassed
	case http.StatusConflict:
		return backend.StatusVersionNotHeld
	}
	return backend.StatusFailed
}

// retryAfter returns the server's hint, limited to the range from 0 to maxRetryAfter because servers may send any value.
func (r *RefusalBody) retryAfter() time.Duration {
	ms := min(max(r.RetryAfterMs, 0), maxRetryAfter.Milliseconds())
	return time.Duration(ms) * time.Millisecond
}

// readJSON decodes a body. It reads the body to its end, so that net/http can reuse the connection. The decoded value shares
// no memory with the buffer, which is reused.
func (c *client) readJSON(resp *http.Response, into any) error {
	limited := c.limiter.LimitBody(resp)
	defer limited.Release()
	buf, _ := replyBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBufferBytes {
			replyBuffers.Put(buf)
		}
	}()
	buf.Reset()
	if _, err := buf.ReadFrom(limited); err != nil {
		return err
	}
	return json.Unmarshal(buf.Bytes(), into)
}
