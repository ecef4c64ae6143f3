// Package httpconn holds what the HTTP clients of backend servers share: the transports, the limits on replies, connections
// that are reused only after an accepted reply, and a tracker of the connection that net/http uses for a request, which
// determines what is known about a request without a complete reply.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/backend"
)

// Tracker tracks the connection of one request. The zero value has no connection.
type Tracker struct {
	conn net.Conn
	turn *turn
	// unusable is set while the request has a connection whose previous reply was not accepted, or which has carried a request with the
	// same id. Nothing is sent on it.
	unusable atomic.Bool
	// written is set once the headers of the request were written to a connection.
	written atomic.Bool
}

// maxConnections is the number of connections that RoundTrip tries while it gets unusable ones.
const maxConnections = 4

// RoundTrip sends a request and returns the head of its reply. newRequest returns the request, with the tracker's hooks, for
// each connection that is tried; it is written to at most one. The caller must call Accept or CloseConn once it knows whether
// the reply belongs to the request, and End in any case.
func (t *Tracker) RoundTrip(transport http.RoundTripper, newRequest func() *http.Request) (*http.Response, error) {
	for tries := 1; ; tries++ {
		resp, err := transport.RoundTrip(newRequest())
		if err == nil || !t.unusable.Load() || t.written.Load() || tries == maxConnections {
			return resp, err
		}
	}
}

// Trace returns the hooks with which the request must be sent. id is what the reply echoes. net/http resends a request without a body if a reused
// connection closes without a reply. That would be an attempt that no retry policy allowed, so the hooks close the connection
// that net/http gets for it.
func (t *Tracker) Trace(id string) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.conn = nil },
		GotConn: func(info httptrace.GotConnInfo) {
			t.conn = info.Conn
			if !t.begin(id) || t.written.Load() {
				t.CloseConn()
			}
		},
		WroteHeaders: func() {
			if !t.unusable.Load() {
				t.written.Store(true)
			}
		},
	}
}

// begin starts the request's turn on its connection, and reports whether the connection may be used.
func (t *Tracker) begin(id string) bool {
	c, ok := t.conn.(*conn)
	if !ok {
		return true
	}
	t.End()
	var usable bool
	t.turn, usable = c.begin(id)
	t.unusable.Store(!usable)
	return usable
}

// Accept lets the connection carry further requests. It is called once the head of a reply shows that the reply belongs to
// the request.
func (t *Tracker) Accept() { t.endTurn(true) }

// CloseConn closes the connection. It is called after a reply that does not belong to the request, because further replies on
// the connection cannot be trusted.
func (t *Tracker) CloseConn() {
	// The connection may be closed already.
	_ = t.conn.Close()
	t.endTurn(false)
}

// End ends the use of the connection. Unless Accept was called, the connection carries no further request.
func (t *Tracker) End() { t.endTurn(false) }

func (t *Tracker) endTurn(usable bool) {
	if t.turn != nil {
		t.turn.end(usable)
	}
}

// FailureStatus returns the status of a request without a complete reply.
func (t *Tracker) FailureStatus(ctx context.Context) backend.Status {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return backend.StatusCancelled
	case !t.written.Load() && (t.conn == nil || t.unusable.Load()):
		return backend.StatusUnreachable
	}
	return backend.StatusLost
}
