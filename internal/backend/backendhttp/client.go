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

// Connector creates clients. Servers with the same maximum number of connections share a transport, which limits the
// connections to each of them. The zero value is ready to use.
type Connector struct {
	// Dial opens connections; nil means a net.Dialer. It must be set before the first call of Connect.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// transports holds a transport for each maximum number of connections.
	transports httpconn.Transports[int]
	limiter    httpconn.ReplyLimiter
}

// Connect implements backend.Connector.
func (c *Connector) Connect(server *model.Server, connections int) backend.Server {
	return &client{
		name: server.Name, transport: c.transports.Get(max(1, connections), c.newTransport), baseURL: "http://" + server.Address,
		limiter: &c.limiter,
	}
}

// Close closes the idle connections of all clients.
func (c *Connector) Close() { c.transports.CloseIdle() }

func (c *Connector) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         httpconn.Dial(c.dial),
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

// client implements backend.Server. It uses the transport directly and not an http.Client, which would follow redirects and
// thereby send a request twice, and which copies each request for redirects, cookies and timeouts.
type client struct {
	name      model.ServerName
	transport http.RoundTripper
	baseURL   string
	limiter   *httpconn.ReplyLimiter
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

// Warm implements backend.Server with a health request, whose connection stays open as an idle one.
func (c *client) Warm(ctx context.Context) error {
	_, err := c.Health(ctx)
	return err
}

// Close implements backend.Server. It also closes the idle connections of all other servers that share the transport.
func (c *client) Close() {
	if t, ok := c.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

func (c *client) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
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
	// An error of closing the body of a reply has no effect on the caller.
	_ = b.Close()
}
