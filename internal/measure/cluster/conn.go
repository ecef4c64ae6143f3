package cluster

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// linkDepth is the number of writes or reads under way in one direction of a connection.
	linkDepth = 1024
	readSize  = 32 << 10
)

// conn delays what passes through a connection by the one-way latency. Data under way does not hold up what is written
// after it, as in a real network, so that pipelined messages each take the latency once.
type conn struct {
	net.Conn
	network  *Network
	from, to Location
	out      chan packet
	in       chan packet
	// current is what Read has taken from in and not returned yet; only the reader uses it.
	current packet
	once    sync.Once
	closed  chan struct{}
}

// packet is data that arrives at due, or the error that ended the connection.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

func newConn(inner net.Conn, n *Network, from, to Location) *conn {
	c := &conn{
		Conn: inner, network: n, from: from, to: to, closed: make(chan struct{}),
		out: make(chan packet, linkDepth), in: make(chan packet, linkDepth),
	}
	go c.deliver()
	go c.receive()
	return c
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	p := packet{data: slices.Clone(b), due: time.Now().Add(latency(c.from, c.to))}
	select {
	case <-c.closed:
		return 0, ErrClosed
	default:
	}
	select {
	case c.out <- p:
		return len(b), nil
	case <-c.closed:
		return 0, ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.current.data) == 0 {
		if c.current.err != nil {
			return 0, c.current.err
		}
		select {
		case c.current = <-c.in:
		case <-c.closed:
			return 0, ErrClosed
		}
		if err := c.arrive(c.current); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.current.data)
	c.current.data = c.current.data[n:]
	if n == 0 {
		return 0, c.current.err
	}
	return n, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// deliver writes what was written to the connection once it has arrived at the other end.
func (c *conn) deliver() {
	for {
		select {
		case p := <-c.out:
			if c.arrive(p) != nil {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// receive takes what the other end sent, to be read once it has arrived here.
func (c *conn) receive() {
	// One buffer for all reads: a new one for each would fill the heap of the daemons that are measured.
	buf := make([]byte, readSize)
	for {
		n, err := c.Conn.Read(buf)
		p := packet{data: slices.Clone(buf[:n]), due: time.Now().Add(latency(c.from, c.to)), err: err}
		select {
		case c.in <- p:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// arrive waits until the packet is due and the path is open.
func (c *conn) arrive(p packet) error {
	if err := c.network.waitOpen(c.from, c.to, c.closed); err != nil {
		return err
	}
	return sleep(time.Until(p.due), c.closed)
}
