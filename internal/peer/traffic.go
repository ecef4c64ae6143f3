package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on connections between daemons, whichever side opened them.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// WrapConn returns a connection that reads from and writes to conn and adds the bytes to the counts.
func (t *Traffic) WrapConn(conn net.Conn) net.Conn { return countedConn{Conn: conn, traffic: t} }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	// The bytes are counted before the write, because the other end may answer before Write returns.
	c.traffic.Sent.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n - len(p)))
	return n, err
}
