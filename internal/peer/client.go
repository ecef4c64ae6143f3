package peer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/lockorder"
)

// ErrRefused means that the peer rejected the CONNECT request of a connection.
var ErrRefused = errors.New("peer: connection refused by the peer")

const (
	// MaxControlConns is the maximum number of connections kept for digests, notices and registry requests, which go
	// to few peers.
	MaxControlConns = 16
	// MaxDataConns is the maximum number of connections kept for sub-requests, which go to every daemon that owns a server.
	MaxDataConns = 1024

	dialTimeout = time.Second
	// callTimeout is the timeout of a call, in addition to the time that the call asks the peer to wait.
	callTimeout = 2 * time.Second
)

// Client calls peers by address and keeps its connections for further calls. It is safe for concurrent use.
type Client struct {
	token   string
	traffic *Traffic
	dialer  DialFunc
	// maxConns is the maximum number of connections kept; connections with calls in flight may exceed it.
	maxConns int

	mu    lockorder.Mutex
	conns map[string]*clientConn
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type clientConn struct {
	rpc *rpc.Client
	// calls is the number of calls in flight.
	calls    int
	lastUsed time.Time
	// lastReply is when the last reply arrived.
	lastReply time.Time
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Order is the lock order of the client's mutex.
	Order lockorder.Order
	Token string
	// Traffic counts the bytes that the client sends and receives.
	Traffic *Traffic
	Dial    DialFunc
	// MaxConns is the maximum number of connections kept: MaxControlConns or MaxDataConns.
	MaxConns int
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		token: cfg.Token, traffic: cfg.Traffic, dialer: cfg.Dial, maxConns: cfg.MaxConns,
		mu: lockorder.New(cfg.Order), conns: map[string]*clientConn{},
	}
}

// Digest exchanges digests with the peer.
func (c *Client) Digest(ctx context.Context, address string, d Digest) (Digest, error) {
	var reply Digest
	err := c.call(ctx, address, MethodDigest, d, &reply)
	return reply, err
}

// Parts asks the peer for configuration values by hash.
func (c *Client) Parts(ctx context.Context, address string, hashes []configdoc.Hash) (PartsReply, error) {
	var reply PartsReply
	err := c.call(ctx, address, MethodParts, PartsRequest{Hashes: hashes}, &reply)
	return reply, err
}

// Notice announces a configuration revision to the peer.
func (c *Client) Notice(ctx context.Context, address string, n Notice) error {
	return c.call(ctx, address, MethodNotice, n, &Empty{})
}

// Leaving announces leaving servers to the peer.
func (c *Client) Leaving(ctx context.Context, address string, l Leaving) error {
	return c.call(ctx, address, MethodLeaving, l, &Empty{})
}

// Forward delivers sub-requests, results and cancellations to the peer.
func (c *Client) Forward(ctx context.Context, address string, b forwarding.Batch) (forwarding.Receipt, error) {
	var reply forwarding.Receipt
	err := c.call(ctx, address, MethodForward, &b, &reply)
	return reply, err
}

// Status asks the peer for its status and decodes it into reply.
func (c *Client) Status(ctx context.Context, address string, reply any) error {
	return c.call(ctx, address, MethodStatus, StatusRequest{}, reply)
}

// call makes a call with callTimeout. If the kept connection turns out to be closed, it repeats the call on a new one.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	return c.callWithWait(ctx, 0, address, method, args, reply)
}

// callWithWait is like call, for a method that the peer answers after wait at the latest.
func (c *Client) callWithWait(ctx context.Context, wait time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err := c.callOnce(ctx, address, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		err = c.callOnce(ctx, address, method, args, reply)
	}
	return err
}

// callOnce makes a call without repeating it. It closes a connection on which a call failed, but not if the peer returned the
// error: other calls of the connection are then not affected.
func (c *Client) callOnce(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.acquire(ctx, address)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	if b, ok := args.(*forwarding.Batch); ok {
		b.StampDeadlines(sentAt)
	}
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		// Closing the connection ends the call, so that nothing writes to reply after callOnce returns.
		_ = conn.rpc.Close()
		<-call.Done
		err = ctx.Err()
		c.closeSilent(sentAt)
	}
	var returned rpc.ServerError
	c.release(address, conn, err != nil && !errors.As(err, &returned))
	return errors.Wrapf(err, "peer: %s at %s", method, address)
}

// acquire returns a connection to the peer for one call: the kept one, or else a new one. If a concurrent call has meanwhile
// added a connection, that one is used and the new one closed.
func (c *Client) acquire(ctx context.Context, address string) (*clientConn, error) {
	if conn := c.acquireKept(address); conn != nil {
		return conn, nil
	}
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	evicted := c.evict(now)
	existing := c.conns[address]
	if existing == nil {
		existing = &clientConn{rpc: dialed, lastReply: now}
		c.conns[address] = existing
	}
	existing.calls++
	existing.lastUsed = now
	c.mu.Unlock()
	if existing.rpc != dialed {
		evicted = append(evicted, dialed)
	}
	closeAll(evicted)
	return existing, nil
}

// acquireKept returns the kept connection to the peer for one call, or nil if there is none or it has been idle for too long.
func (c *Client) acquireKept(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil || (conn.calls == 0 && time.Since(conn.lastUsed) > clientIdleTimeout) {
		return nil
	}
	conn.calls++
	conn.lastUsed = time.Now()
	return conn
}

// evict removes and returns the connections whose idle timeout has passed, and then the least recently used idle ones until
// there is room for one more. The caller holds c.mu.
func (c *Client) evict(now time.Time) []*rpc.Client {
	var out []*rpc.Client
	for address, conn := range c.conns {
		if conn.calls == 0 && now.Sub(conn.lastUsed) > clientIdleTimeout {
			delete(c.conns, address)
			out = append(out, conn.rpc)
		}
	}
	for len(c.conns) >= c.maxConns {
		oldest := ""
		for address, conn := range c.conns {
			if conn.calls == 0 && (oldest == "" || conn.lastUsed.Before(c.conns[oldest].lastUsed)) {
				oldest = address
			}
		}
		if oldest == "" {
			return out
		}
		out = append(out, c.conns[oldest].rpc)
		delete(c.conns, oldest)
	}
	return out
}

// closeSilent closes the idle connections on which nothing has arrived since the given time, when a call was sent that got no reply:
// what silenced its connection, such as a network element that lost its state, may have silenced them too. Later calls open new
// ones, so that they do not find out one after the other.
func (c *Client) closeSilent(since time.Time) {
	var silent []*rpc.Client
	c.mu.Lock()
	for address, conn := range c.conns {
		if conn.calls == 0 && conn.lastReply.Before(since) {
			delete(c.conns, address)
			silent = append(silent, conn.rpc)
		}
	}
	c.mu.Unlock()
	closeAll(silent)
}

func (c *Client) release(address string, conn *clientConn, broken bool) {
	c.mu.Lock()
	conn.calls--
	switch {
	case !broken:
		conn.lastReply = time.Now()
	case c.conns[address] == conn:
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if broken {
		_ = conn.rpc.Close()
	}
}

// dial opens a connection and sends CONNECT with the token.
func (c *Client) dial(ctx context.Context, address string) (*rpc.Client, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dialer(dialCtx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: dialling %s", address)
	}
	conn := c.traffic.WrapConn(raw)
	reader, err := c.connect(ctx, conn, address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClientWithCodec(clientCodec{newGobCodec(conn, reader, maxReplyBytes, 0)}), nil
}

func (c *Client) connect(ctx context.Context, conn net.Conn, address string) (*bufio.Reader, error) {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodConnect, "http://"+address+connectPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "peer: building CONNECT")
	}
	req.Header.Set(headerAuthorization, bearer+c.token)
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrapf(err, "peer: CONNECT to %s", address)
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: CONNECT to %s", address)
	}
	// The body of a response with status 200 is the connection itself, so it stays open.
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrRefused, "%s answered %s", address, resp.Status)
	}
	return reader, conn.SetDeadline(time.Time{})
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := make([]*rpc.Client, 0, len(c.conns))
	for _, conn := range c.conns {
		all = append(all, conn.rpc)
	}
	c.conns = map[string]*clientConn{}
	c.mu.Unlock()
	closeAll(all)
}

func closeAll(conns []*rpc.Client) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
