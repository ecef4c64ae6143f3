package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that a message exceeds the maximum size of a request or reply.
var ErrTooLarge = errors.New("peer: message too large")

// Maximum sizes of a message. The largest request is a batch of results for another daemon, the largest reply a PartsReply.
const (
	maxRequestBytes = 4 << 20
	maxReplyBytes   = MaxPartsBytes + 512<<10
)

// Timeouts of a connection. The client's idle timeout is shorter than the server's, so that the client does not reuse a
// connection that the server is closing. Both are long, because opening a connection to another region delays a query by
// about 60 ms; separate limits bound the number of connections.
const (
	clientIdleTimeout = 5 * time.Minute
	serverIdleTimeout = 6 * time.Minute
	writeTimeout      = 5 * time.Second
)

// gobCodec is the gob codec that net/rpc uses by default, with a maximum message size and deadlines added.
type gobCodec struct {
	conn net.Conn
	in   *limitedReader
	// maxBytes is the maximum size of a message that is read.
	maxBytes int
	// idleTimeout is how long readHeader waits for a message; 0 means without limit.
	idleTimeout time.Duration
	dec         *gob.Decoder
	enc         *gob.Encoder
	out         *bufio.Writer
}

func newGobCodec(conn net.Conn, buffered *bufio.Reader, maxBytes int, idleTimeout time.Duration) *gobCodec {
	in := &limitedReader{r: buffered}
	out := bufio.NewWriter(conn)
	return &gobCodec{
		conn: conn, in: in, maxBytes: maxBytes, idleTimeout: idleTimeout,
		dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), out: out,
	}
}

// readHeader reads the header of the next message. The header and the body together may have maxBytes bytes.
func (c *gobCodec) readHeader(header any) error {
	c.in.begin(c.maxBytes)
	if c.idleTimeout > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return err
		}
	}
	return c.dec.Decode(header)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *gobCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

func (c *gobCodec) write(header, body any) error {
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = c.enc.Encode(header)
	}
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		// Part of the message may have been sent, so the connection cannot be reused.
		_ = c.conn.Close()
	}
	return err
}

// Close closes the connection.
func (c *gobCodec) Close() error { return c.conn.Close() }

type serverCodec struct{ *gobCodec }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

type clientCodec struct{ *gobCodec }

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// messageLimiter bounds the memory of the messages that are read on all connections of a server together.
type messageLimiter struct {
	// maxBytes is the bound; 0 means none.
	maxBytes     int64
	countedBytes atomic.Int64
}

// uncountedBytes is how much of each message does not count toward messageLimiter.maxBytes.
const uncountedBytes = 64 << 10

// add counts bytes and reports whether the total is within the bound.
func (l *messageLimiter) add(bytes int64) bool {
	total := l.countedBytes.Add(bytes)
	return l.maxBytes == 0 || total <= l.maxBytes
}

// limitedReader returns ErrTooLarge once remaining bytes have been read, or when all messages that are read together are too large.
// It implements io.ByteReader, so that gob does not read beyond the end of a message.
type limitedReader struct {
	r         *bufio.Reader
	remaining int
	// uncounted is how many further bytes do not count toward the total, and counted how many did; total may be nil.
	uncounted int
	counted   int64
	total     *messageLimiter
}

// begin starts to read a message of at most maxBytes bytes.
func (l *limitedReader) begin(maxBytes int) {
	l.release()
	l.remaining, l.uncounted = maxBytes, uncountedBytes
}

// release subtracts the message from the total.
func (l *limitedReader) release() {
	if l.counted > 0 {
		l.total.add(-l.counted)
		l.counted = 0
	}
}

// count counts bytes of the current message and reports whether the total is within its bound.
func (l *limitedReader) count(n int) bool {
	l.remaining -= n
	free := min(n, l.uncounted)
	l.uncounted -= free
	if n == free || l.total == nil {
		return true
	}
	l.counted += int64(n - free)
	return l.total.add(int64(n - free))
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	if !l.count(n) {
		return 0, ErrTooLarge
	}
	return n, err
}

// ReadByte implements io.ByteReader.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.remaining <= 0 || !l.count(1) {
		return 0, ErrTooLarge
	}
	return l.r.ReadByte()
}
