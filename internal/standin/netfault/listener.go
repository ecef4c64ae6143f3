package netfault

import (
	"net"
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/standin"
)

// Config holds the network limits of a listener.
type Config struct {
	// MaxConnections is the largest number of open connections; 0 means no limit. Connections beyond it are reset.
	MaxConnections int
	// ConnectionCost is the time that accepting each connection takes. Connections are accepted one after the other, so
	// the delays of a burst of connections add up.
	ConnectionCost time.Duration
}

// Listener is a net.Listener that limits, delays and counts its connections.
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

// NewListener returns a Listener that accepts connections from l.
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
			l.delayConnection()
			return tracked, nil
		}
		reset(c)
	}
}

// admit adds c to the open connections, or returns nil if the listener is closed or the limit is reached.
func (l *Listener) admit(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.cfg.MaxConnections > 0 && len(l.open) >= l.cfg.MaxConnections) {
		l.refused++
		return nil
	}
	tracked := &conn{Conn: c, listener: l}
	l.open[tracked] = struct{}{}
	l.accepted++
	l.peak = max(l.peak, len(l.open))
	return tracked
}

// delayConnection waits for the connection cost or until the listener is closed.
func (l *Listener) delayConnection() {
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

// Close closes the listener. Open connections stay open.
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
		// The error is irrelevant: the server may have closed the connection in the meantime.
		_ = c.Close()
	}
}

// Counts holds the connection counters of a listener.
type Counts struct {
	Open     int
	Accepted int
	Refused  int
	// Peak is the largest number of connections that were open at the same time.
	Peak int
}

// Counts returns the listener's counters.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Open: len(l.open), Accepted: l.accepted, Refused: l.refused, Peak: l.peak}
}

// remove removes c from the open connections.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is an open connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// reset closes a connection such that the client gets an error rather than an end of file.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0 the kernel sends RST instead of FIN.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
