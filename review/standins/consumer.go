package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a consumer got for one attempt.
type Answer struct {
	ID, Path, Daemon string
	Sent, Ended      time.Time
	// FullySent is when the last byte of the request was sent; zero if it was not.
	FullySent time.Time
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Stamp  string
	Body   string
	Err    string
}

// Consumer sends requests to one daemon over kept connections.
type Consumer struct {
	record *Record
	daemon *Daemon
	// CheckIdle makes the consumer notice, before it sends on a kept connection, that the daemon has closed it.
	CheckIdle bool

	mu      sync.Mutex
	idle    []*consumerConn
	answers []Answer
}

// consumerConn is a kept connection.
type consumerConn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// maxIdle is how long a connection is kept: below four fifths of idle_timeout_ms.
const maxIdle = 10 * time.Second

// NewConsumer returns a consumer of a daemon.
func NewConsumer(record *Record, d *Daemon) *Consumer { return &Consumer{record: record, daemon: d} }

var requestNumber atomic.Int64

// Send sends one request, with the path exactly as given, and records its answer.
func (c *Consumer) Send(method, host, path, body string, limit time.Duration) Answer {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	a := Answer{ID: id, Path: path, Daemon: c.daemon.Name, Sent: time.Now()}
	c.record.Printf("consumer of %s: sent %s %s %s", c.daemon.Name, id, method, path)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Time-Remaining: %d\r\n", method, path, host, id, limit.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if err := c.exchange(text+"\r\n"+body, method, limit, &a); err != nil {
		a.Status, a.Err = 0, err.Error()
	}
	a.Ended = time.Now()
	c.record.Printf("consumer of %s: answer to %s after %.0f ms: status %d, stamp %q %s",
		c.daemon.Name, id, float64(a.Ended.Sub(a.Sent).Microseconds())/1000, a.Status, a.Stamp, a.Err)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// exchange sends a request and reads its answer. It keeps the connection if the answer allows that.
func (c *Consumer) exchange(text, method string, limit time.Duration, a *Answer) error {
	conn, err := c.connection()
	if err != nil {
		return err
	}
	keep := false
	defer func() {
		if !keep {
			_ = conn.Close()
		}
	}()
	if err := conn.SetDeadline(time.Now().Add(limit + 500*time.Millisecond)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	a.FullySent = time.Now()
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.Status, a.Stamp, a.Body = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), string(raw)
	if !resp.Close {
		keep = true
		conn.usedAt = time.Now()
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return nil
}

// connection returns a kept connection, or a new one.
func (c *Consumer) connection() (*consumerConn, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	raw, err := net.DialTimeout("tcp", c.daemon.Front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &consumerConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// takeIdle returns a kept connection, or nil if there is none.
func (c *Consumer) takeIdle() *consumerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(conn.usedAt) < maxIdle && !(c.CheckIdle && conn.closedByPeer()) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// HasIdle reports whether the consumer has a kept connection that can be used.
func (c *Consumer) HasIdle() bool {
	conn := c.takeIdle()
	if conn == nil {
		return false
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return true
}

// peekTimeout is how long closedByPeer waits for the end of a connection.
const peekTimeout = 100 * time.Microsecond

// closedByPeer reports whether the daemon has closed the connection, or sent something without a request.
func (c *consumerConn) closedByPeer() bool {
	if c.SetReadDeadline(time.Now().Add(peekTimeout)) != nil {
		return true
	}
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Answers returns the answers so far.
func (c *Consumer) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}
