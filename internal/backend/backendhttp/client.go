package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// maxReplyBytes bounds a server's reply.
	maxReplyBytes = 8 << 20
	dialTimeout   = 2 * time.Second
	idleTimeout   = 90 * time.Second
)

// Connector makes clients. Servers with the same connection budget share a transport, which bounds the connections to
// each of them. The zero value is ready to use.
type Connector struct {
	mu         sync.Mutex
	transports map[int]*http.Transport
}

// Connect implements backend.Connector.
func (c *Connector) Connect(server *model.Server, connections int) backend.Server {
	return &client{
		server: server,
		http:   &http.Client{Transport: c.transport(max(1, connections))},
		base:   "http://" + server.Address,
	}
}

// Close closes the idle connections of all clients.
func (c *Connector) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

func (c *Connector) transport(connections int) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.transports[connections]; t != nil {
		return t
	}
	if c.transports == nil {
		c.transports = map[int]*http.Transport{}
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c.transports[connections] = t
	return t
}

type client struct {
	server *model.Server
	http   *http.Client
	base   string
}

// Query implements backend.Server.
func (c *client) Query(ctx context.Context, req backend.QueryRequest) backend.QueryResult {
	body := QueryBody{
		ID: req.ID, Service: req.Service, Shard: req.Shard, Epoch: req.Epoch, WantVersion: req.WantVersion,
		Text: req.Text, Limit: req.Limit, DeadlineMs: req.Deadline.UnixMilli(),
	}
	var reply QueryReplyBody
	status, refusal := c.post(ctx, PathQuery, req.ID, body, &reply)
	if status != backend.StatusOK {
		return backend.QueryResult{Status: status, RetryAfter: refusal.retryAfter(), Retained: refusal.Retained}
	}
	if reply.ID != req.ID || reply.Shard != req.Shard {
		return backend.QueryResult{Status: backend.StatusMismatched}
	}
	return backend.QueryResult{Status: backend.StatusOK, Reply: backend.QueryReply(reply)}
}

// Execute implements backend.Server.
func (c *client) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	body := ExecuteBody{
		ID: req.ID, Service: req.Service, Shard: req.Shard, Key: req.Key, Body: req.Body,
		DeadlineMs: req.Deadline.UnixMilli(),
	}
	var reply ExecuteReplyBody
	status, refusal := c.post(ctx, PathExecute, req.ID, body, &reply)
	if status != backend.StatusOK {
		return backend.ExecuteResult{Status: status, RetryAfter: refusal.retryAfter()}
	}
	if reply.ID != req.ID {
		return backend.ExecuteResult{Status: backend.StatusMismatched}
	}
	return backend.ExecuteResult{Status: backend.StatusOK, Result: reply.Result}
}

// Cancel implements backend.Server.
func (c *client) Cancel(ctx context.Context, id backend.AttemptID) bool {
	var none struct{}
	status, _ := c.post(ctx, PathCancel, id, CancelBody{ID: id}, &none)
	return status == backend.StatusOK
}

// Health implements backend.Server.
func (c *client) Health(ctx context.Context) (backend.Health, error) {
	var h backend.Health
	err := c.get(ctx, PathHealth, &h)
	return h, err
}

// Load implements backend.Server.
func (c *client) Load(ctx context.Context) (backend.Load, error) {
	var l backend.Load
	err := c.get(ctx, PathLoad, &l)
	return l, err
}

// Warm implements backend.Server: concurrent health requests open one connection each.
func (c *client) Warm(ctx context.Context, connections int) error {
	errs := make(chan error, connections)
	for range connections {
		go func() {
			_, err := c.Health(ctx)
			errs <- err
		}()
	}
	var failed error
	for range connections {
		failed = errors.CombineErrors(failed, <-errs)
	}
	return failed
}

// Close implements backend.Server. Connections are shared by the transport and end by its idle timeout.
func (c *client) Close() {}

func (c *client) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "backendhttp: building request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "backendhttp: %s %s", c.server.Name, path)
	}
	defer closeBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("backendhttp: %s %s: status %d", c.server.Name, path, resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(into), "backendhttp: decoding")
}

// post sends one request and decodes its reply. It never sets an Idempotency-Key header: net/http would then resend a
// request whose connection broke, and a non-idempotent request could run twice.
func (c *client) post(ctx context.Context, path string, id backend.AttemptID, body, into any) (
	backend.Status, RefusalBody,
) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("backendhttp: message cannot be encoded: " + err.Error())
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path,
		bytes.NewReader(encoded))
	if err != nil {
		return backend.StatusUnreachable, RefusalBody{}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return failureStatus(ctx, connected), RefusalBody{}
	}
	defer closeBody(resp.Body)
	if resp.Header.Get(HeaderAttempt) != AttemptHeader(id) {
		// The body stays unread, so that net/http closes the connection.
		return backend.StatusMismatched, RefusalBody{}
	}
	return decodeReply(ctx, resp, into)
}

func failureStatus(ctx context.Context, connected bool) backend.Status {
	switch {
	case !connected && ctx.Err() == nil:
		return backend.StatusUnreachable
	case errors.Is(ctx.Err(), context.Canceled):
		return backend.StatusCancelled
	case !connected:
		return backend.StatusUnreachable
	}
	return backend.StatusLost
}

func decodeReply(ctx context.Context, resp *http.Response, into any) (backend.Status, RefusalBody) {
	body := io.LimitReader(resp.Body, maxReplyBytes)
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(body).Decode(into); err != nil {
			return failureStatus(ctx, true), RefusalBody{}
		}
		return backend.StatusOK, RefusalBody{}
	}
	var refusal RefusalBody
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return failureStatus(ctx, true), RefusalBody{}
	}
	return refusalStatus(resp.StatusCode, refusal), refusal
}

// statusClientClosed is the widely used status for a request that its client cancelled.
const statusClientClosed = 499

func refusalStatus(code int, refusal RefusalBody) backend.Status {
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
	case statusClientClosed:
		return backend.StatusCancelled
	}
	return backend.StatusFailed
}

func (r *RefusalBody) retryAfter() time.Duration {
	return time.Duration(r.RetryAfterMs) * time.Millisecond
}

func closeBody(b io.Closer) {
	// A failure to close a reply's body changes nothing for the caller.
	_ = b.Close()
}
