// Package httpconn holds what the HTTP clients of backend servers share: the transports, the limits on replies, and a tracker
// of the connection that net/http uses for a request, which determines what is known about a request without a complete
// reply.
package httpconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/backend"
)

// Tracker tracks the connection of one request. The zero value has no connection.
type Tracker struct {
	conn net.Conn
	// written is set once the headers of the request were written to a connection.
	written atomic.Bool
}

// Trace returns the hooks with which the request must be sent. net/http resends a request without a body if a reused
// connection closes without a reply. That would be an attempt that no retry policy allowed, so the hooks close the connection
// that net/http gets for it.
func (t *Tracker) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.conn = nil },
		GotConn: func(info httptrace.GotConnInfo) {
			t.conn = info.Conn
			if t.written.Load() {
				t.CloseConn()
			}
		},
		WroteHeaders: func() { t.written.Store(true) },
	}
}

// CloseConn closes the connection. It is called after a reply that does not belong to the request, because further replies on
// the connection cannot be trusted.
func (t *Tracker) CloseConn() {
	// The connection may be closed already.
	_ = t.conn.Close()
}

// FailureStatus returns the status of a request without a complete reply.
func (t *Tracker) FailureStatus(ctx context.Context) backend.Status {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return backend.StatusCancelled
	case t.conn == nil && !t.written.Load():
		return backend.StatusUnreachable
	}
	return backend.StatusLost
}
