package httpconn

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function like dial whose connections carry a further request only once the reply to the previous one was
// accepted. net/http alone reuses a connection as soon as a reply has ended, before its caller has seen that the reply belongs
// to another request or comes from elsewhere.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection with the turn of its latest request.
type conn struct {
	net.Conn
	latest atomic.Pointer[turn]
}

// turn is the use of a connection by one request.
type turn struct {
	// ended is closed once it is decided whether the connection may carry another request; usable then holds the decision.
	ended  chan struct{}
	usable bool
}

// begin starts the turn of a request once the previous one has ended, and reports whether the request may be sent.
func (c *conn) begin() (t *turn, usable bool) {
	t = &turn{ended: make(chan struct{})}
	previous := c.latest.Swap(t)
	if previous == nil {
		return t, true
	}
	// The previous request decides as soon as it has the head of its reply.
	<-previous.ended
	return t, previous.usable
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
