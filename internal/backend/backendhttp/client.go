package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/httpconn"
	"oleandersill.example/oleandersill/internal/model"
)

const idleTimeout = 90 * time.Second

// Connector makes clients. Servers with the same connection budget share a transport, which bounds the connections to
// each of them. The zero value is ready to use.
type Connector struct {
	// Dial opens connections; nil stands for a plain TCP dialer. Set it before the first Connect.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// transports are by the number of connections.
	transports httpconn.Transports[int]
	replies    httpconn.ReplyLimiter
}

// Connect implements backend.Connector.
func (c *Connector) Connect(server *model.Server, connections int) backend.Server {
	return &client{
		name: server.Name, transport: c.transports.Get(max(1, connections), c.openTransport), base: "http://" + server.Address,
		replies: &c.replies,
	}
}

// Close closes the idle connections of all clients.
func (c *Connector) Close() { c.transports.CloseIdle() }

func (c *Connector) openTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: httpconn.MaxHeaderBytes,
	}
}

// dial opens a connection within backend.DialTimeout.
func (c *Connector) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, backend.DialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, network, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// client sends its requests through the transport and not through an http.Client, which would send a request a second time to
// the place that a redirect names, and which copies each request for its redirects, cookies and timeouts.
type client struct {
	name      model.ServerName
	transport http.RoundTripper
	base      string
	replies   *httpconn.ReplyLimiter
}

// Query implements backend.Server.
func (c *client) Query(ctx context.Context, req backend.QueryRequest) backend.QueryResult {
	body := QueryBody{
		ID: req.ID, Service: req.Service, Shard: req.Shard, Epoch: req.Epoch, WantVersion: req.WantVersion,
		Text: req.Text, Limit: req.Limit, DeadlineMs: req.Deadline.UnixMilli(),
	}
	var reply QueryReplyBody
	x := exchange{id: req.ID, matches: func() bool { return reply.ID == req.ID && reply.Shard == req.Shard }}
	status, refusal := c.post(ctx, PathQuery, &x, body, &reply)
	if status != backend.StatusOK {
		return backend.QueryResult{Status: status, RetryAfter: refusal.retryAfter(), Retained: refusal.Retained}
	}
	return backend.QueryResult{Status: backend.StatusOK, Reply: backend.QueryReply{
		ID: reply.ID, Shard: reply.Shard, Epoch: reply.Epoch, Version: reply.Version, Retained: reply.Retained,
		Items: reply.Items, Load: reply.Load,
	}}
}

// Execute implements backend.Server.
func (c *client) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	body := ExecuteBody{
		ID: req.ID, Service: req.Service, Shard: req.Shard, Key: req.Key, Body: req.Body,
		DeadlineMs: req.Deadline.UnixMilli(),
	}
	var reply ExecuteReplyBody
	x := exchange{id: req.ID, matches: func() bool { return reply.ID == req.ID }}
	status, refusal := c.post(ctx, PathExecute, &x, body, &reply)
	if status != backend.StatusOK {
		return backend.ExecuteResult{Status: status, RetryAfter: refusal.retryAfter()}
	}
	return backend.ExecuteResult{Status: backend.StatusOK, Result: reply.Result}
}

// Cancel implements backend.Server.
func (c *client) Cancel(ctx context.Context, id backend.AttemptID) bool {
	var none struct{}
	x := exchange{id: id, matches: func() bool { return true }}
	status, _ := c.post(ctx, PathCancel, &x, CancelBody{ID: id}, &none)
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

// Warm implements backend.Server by a health request, which leaves its connection idle.
func (c *client) Warm(ctx context.Context) error {
	_, err := c.Health(ctx)
	return err
}

// Close implements backend.Server. Servers with one connection budget share the transport, so that the idle connections of
// all of them are closed.
func (c *client) Close() {
	if t, ok := c.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

func (c *client) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "backendhttp: building request")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "backendhttp: %s %s", c.name, path)
	}
	defer closeBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("backendhttp: %s %s: status %d", c.name, path, resp.StatusCode)
	}
	return errors.Wrap(c.readJSON(resp, into), "backendhttp: decoding")
}

func closeBody(b io.Closer) {
	// A failure to close a reply's body changes nothing for the caller.
	_ = b.Close()
}
