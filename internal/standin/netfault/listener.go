package netfault

import (
	"net"
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/standin"
)

// Config limits a listener.
type Config struct {
	// MaxConnections is the number of connections open at a time; 0 means no limit. Further ones are reset.
	MaxConnections int
	// ConnectionCost is the time that each new connection takes. Connections are taken one after the other, so a burst
	// of them pays the sum.
	ConnectionCost time.Duration
}

// Listener is a net.Listener that knows its open connections.
type Listener struct {
	net.Listener
	cfg  Config
	done chan struct{}

	mu       lockorder.Mutex
	open     map[*conn]struct{}
	accepted int
	refused  int
	peak     int
	closed   bool
}

// NewListener wraps l.
func NewListener(l net.Listener, cfg Config) *Listener {
	return &Listener{
		Listener: l,
		cfg:      cfg,
		done:     make(chan struct{}),
		mu:       lockorder.New(standin.OrderListener),
		open:     map[*conn]struct{}{},
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.admit(c); tracked != nil {
			l.pay()
			return tracked, nil
		}
		reset(c)
	}
}

// admit adds the connection to the open ones, or returns nil if it is to be refused.
func (l *Listener) admit(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.cfg.MaxConnections > 0 && len(l.open) >= l.cfg.MaxConnections) {
		l.refused++
		return nil
	}
	tracked := &conn{Conn: c, owner: l}
	l.open[tracked] = struct{}{}
	l.accepted++
	l.peak = max(l.peak, len(l.open))
	return tracked
}

func (l *Listener) pay() {
	if l.cfg.ConnectionCost <= 0 {
		return
	}
	timer := time.NewTimer(l.cfg.ConnectionCost)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}

// Close closes the listener. Open connections stay.
func (l *Listener) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// CloseConnections closes all open connections.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		// The connection may have been closed in the meantime.
		_ = c.Close()
	}
}

// Counts states what a listener has seen.
type Counts struct {
	Open     int
	Accepted int
	Refused  int
	// Peak is the largest number of connections open at a time.
	Peak int
}

// Counts returns the listener's counters.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Open: len(l.open), Accepted: l.accepted, Refused: l.refused, Peak: l.peak}
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

type conn struct {
	net.Conn
	owner *Listener
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.forget(c)
	return c.Conn.Close()
}

// reset closes a connection so that the client sees an error and not an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without linger the kernel sends RST.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
