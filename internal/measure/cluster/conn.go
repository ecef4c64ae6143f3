package cluster

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxInFlight is the maximum number of packets in flight in one direction of a connection.
	maxInFlight     = 1024
	readBufferBytes = 32 << 10
)

// conn delays the data of a connection by the one-way latency in each direction. As in a real network, data in flight does
// not delay data written after it, so that each of several pipelined messages takes the latency only once.
type conn struct {
	net.Conn
	network  *Network
	from, to Location
	out      chan packet
	in       chan packet
	// current is the packet that Read has taken from in and not returned completely yet. Only the reader uses it.
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
		out: make(chan packet, maxInFlight), in: make(chan packet, maxInFlight),
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
		if err := c.awaitArrival(c.current); err != nil {
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

// deliver writes the outgoing packets to the underlying connection when they are due at the other end.
func (c *conn) deliver() {
	for {
		select {
		case p := <-c.out:
			if c.awaitArrival(p) != nil {
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

// receive reads from the underlying connection and queues the data as packets, which Read returns when they are due.
func (c *conn) receive() {
	// One buffer serves all reads: a new one for each would add to the heap of the daemons under test, which run in this
	// process.
	buf := make([]byte, readBufferBytes)
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

// awaitArrival waits until the path is not partitioned and the packet is due.
func (c *conn) awaitArrival(p packet) error {
	if err := c.network.awaitConnected(c.from, c.to, c.closed); err != nil {
		return err
	}
	return sleep(time.Until(p.due), c.closed)
}
