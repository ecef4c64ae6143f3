// Package httpconn holds what the encodings of backend servers share: the transports by their limits, and which connection
// net/http gave a request to, which decides what is known about a request without a whole reply.
package httpconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/backend"
)

// Tracker follows one request. The zero value has no connection.
type Tracker struct {
	conn net.Conn
	// written tells that a connection was given the request, or a part of it.
	written atomic.Bool
}

// Trace returns the hooks to send the request with. net/http sends a request without a body once more when a kept connection
// ends without a reply. That would be an attempt which nobody decided on, so that the connection for it is closed at once.
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

// CloseConn closes the connection of a reply that does not belong to the request: what else comes on it cannot be trusted.
func (t *Tracker) CloseConn() {
	// The connection may be closed already.
	_ = t.conn.Close()
}

// FailureStatus tells what is known about a request without a whole reply.
func (t *Tracker) FailureStatus(ctx context.Context) backend.Status {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return backend.StatusCancelled
	case t.conn == nil && !t.written.Load():
		return backend.StatusUnreachable
	}
	return backend.StatusLost
}
