// Package httpconn follows which connection net/http gave a request to, which decides what is known about a request without a
// whole reply. The encodings of backend servers share it.
package httpconn

import (
	"context"
	"net"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/backend"
)

// Tracker follows one request. The zero value has no connection.
type Tracker struct {
	conn net.Conn
}

// Trace returns the hooks to send the request with.
func (t *Tracker) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		// net/http asks for another connection only if nothing was written on the one before.
		GetConn: func(string) { t.conn = nil },
		GotConn: func(info httptrace.GotConnInfo) { t.conn = info.Conn },
	}
}

// Cut closes the connection of a reply that does not belong to the request: what else comes on it cannot be trusted.
func (t *Tracker) Cut() {
	// The connection may be closed already.
	_ = t.conn.Close()
}

// Failure tells what is known about a request without a whole reply.
func (t *Tracker) Failure(ctx context.Context) backend.Status {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return backend.StatusCancelled
	case t.conn == nil:
		return backend.StatusUnreachable
	}
	return backend.StatusLost
}
