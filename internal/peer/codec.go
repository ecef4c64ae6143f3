package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that a message exceeds the limit of its direction.
var ErrTooLarge = errors.New("peer: message too large")

// Limits of one message. The largest request is a batch of results for another daemon, the largest reply a PartsReply.
const (
	maxRequestBytes = 4 << 20
	maxReplyBytes   = MaxPartsBytes + 512<<10
)

// Deadlines of a connection. A client ends its idle connections before the server does. They are long, because opening one
// to another region costs a query about 60 ms; the number of connections is bounded apart from that.
const (
	clientIdle   = 5 * time.Minute
	serverIdle   = 6 * time.Minute
	writeTimeout = 5 * time.Second
)

// wire is the gob codec that net/rpc uses by default, with a limit on the size of a message and deadlines.
type wire struct {
	conn  net.Conn
	in    *limitedReader
	limit int
	idle  time.Duration
	dec   *gob.Decoder
	enc   *gob.Encoder
	out   *bufio.Writer
}

func newWire(conn net.Conn, buffered *bufio.Reader, limit int, idle time.Duration) *wire {
	in := &limitedReader{r: buffered}
	out := bufio.NewWriter(conn)
	return &wire{
		conn: conn, in: in, limit: limit, idle: idle,
		dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), out: out,
	}
}

// readHeader starts a message: its header and body together may have limit bytes.
func (w *wire) readHeader(header any) error {
	w.in.left = w.limit
	if w.idle > 0 {
		if err := w.conn.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
			return err
		}
	}
	return w.dec.Decode(header)
}

// ReadRequestBody implements rpc.ServerCodec.
func (w *wire) ReadRequestBody(body any) error { return w.dec.Decode(body) }

// ReadResponseBody implements rpc.ClientCodec.
func (w *wire) ReadResponseBody(body any) error { return w.dec.Decode(body) }

func (w *wire) write(header, body any) error {
	err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = w.enc.Encode(header)
	}
	if err == nil {
		err = w.enc.Encode(body)
	}
	if err == nil {
		err = w.out.Flush()
	}
	if err != nil {
		// Part of a message may be on the wire, so the connection cannot be used further.
		_ = w.conn.Close()
	}
	return err
}

// Close closes the connection.
func (w *wire) Close() error { return w.conn.Close() }

type serverCodec struct{ *wire }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

type clientCodec struct{ *wire }

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// limitedReader fails once left bytes were read. It implements io.ByteReader, so that gob reads no further than a
// message's end.
type limitedReader struct {
	r    *bufio.Reader
	left int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	l.left--
	return l.r.ReadByte()
}
