package httpconn

import (
	"context"
	"net"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function like dial whose connections carry a further request only once the reply to the previous one was
// accepted. net/http alone reuses a connection as soon as a reply has ended, before its caller has seen that the reply belongs
// to another request or comes from elsewhere. A connection carries no request whose id is among those of its last
// recentRequests: a second copy of the earlier reply, sent late, would pass for the reply to it.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// recentRequests is the number of requests whose ids a connection remembers. Two requests with one id follow each other closely, when
// two daemons gather one answer.
const recentRequests = 8

// conn is a connection with the turn of its latest request.
type conn struct {
	net.Conn
	latest atomic.Pointer[turn]
	// recent holds digests of the ids of the latest requests, and next is the place of the next one. Only the holder of the turn uses
	// them.
	recent [recentRequests]uint64
	next   int
}

// turn is the use of a connection by one request.
type turn struct {
	// ended is closed once it is decided whether the connection may carry another request; usable then holds the decision.
	ended  chan struct{}
	usable bool
}

// begin starts the turn of a request once the previous one has ended, and reports whether the request may be sent.
func (c *conn) begin(id string) (t *turn, usable bool) {
	t = &turn{ended: make(chan struct{})}
	previous := c.latest.Swap(t)
	if previous == nil {
		c.remember(id)
		return t, true
	}
	// The previous request decides as soon as it has the head of its reply.
	<-previous.ended
	return t, previous.usable && c.remember(id)
}

// remember records the id of a request, and reports whether it is new to the connection.
func (c *conn) remember(id string) bool {
	digest := xxhash.Sum64String(id)
	if slices.Contains(c.recent[:], digest) {
		return false
	}
	c.recent[c.next] = digest
	c.next = (c.next + 1) % recentRequests
	return true
}

// end decides whether the connection may carry another request. Only the first call for a turn has an effect; it and further
// ones must not be concurrent.
func (t *turn) end(usable bool) {
	select {
	case <-t.ended:
	default:
		t.usable = usable
		close(t.ended)
	}
}
