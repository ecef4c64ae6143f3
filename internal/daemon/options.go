package daemon

import (
	"context"
	"net"
	"time"
)

// dialTimeout bounds the time to open a connection.
const dialTimeout = 2 * time.Second

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type options struct {
	dial DialFunc
}

// Option configures a Daemon.
type Option func(*options)

// WithDialer makes the daemon use dial to open its connections to servers, peers and the platform. The measurement driver
// uses it to add network latencies and partitions.
func WithDialer(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}

func newOptions(list []Option) options {
	o := options{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
