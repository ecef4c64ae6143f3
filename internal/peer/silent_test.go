package peer_test

import (
	"context"
	"net"
	"sync"
)

// silentDialer opens connections that can fall silent: what is sent on them is lost, and nothing arrives.
type silentDialer struct {
	mu    sync.Mutex
	dials map[string]int
	// generation is that of connections opened from now on. Those of earlier ones are silent.
	generation int
}

// silentConn is a connection of a silentDialer.
type silentConn struct {
	net.Conn
	dialer     *silentDialer
	generation int
}

// dial implements peer.DialFunc.
func (d *silentDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials[address]++
	return &silentConn{Conn: conn, dialer: d, generation: d.generation}, nil
}

// silence makes all open connections silent. New ones work.
func (d *silentDialer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// dialled returns how many connections to an address were opened.
func (d *silentDialer) dialled(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials[address]
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	c.dialer.mu.Lock()
	silent := c.generation < c.dialer.generation
	c.dialer.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
