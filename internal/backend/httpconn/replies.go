package httpconn

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Limits of the replies of backend servers, in bytes.
const (
	// MaxHeaderBytes bounds the status line and the headers of a reply.
	MaxHeaderBytes = 64 << 10
	// maxStatedBytes bounds a reply that states its length, and maxUnstatedBytes any other: it may go on for ever.
	maxStatedBytes   = 8 << 20
	maxUnstatedBytes = 1 << 20
	// smallBytes of each reply do not count for maxHeldBytes, which bounds what all replies hold together while they are read.
	smallBytes   = 64 << 10
	maxHeldBytes = 32 << 20
)

// ErrTooLarge means that a reply exceeds its limit, or that the replies being read exceed theirs together.
var ErrTooLarge = errors.New("httpconn: reply too large")

// ReplyLimiter bounds the memory of the replies that are being read from servers. The zero value is ready to use.
type ReplyLimiter struct {
	held atomic.Int64
}

// LimitBody returns the body of a reply, which fails with ErrTooLarge where it exceeds the limits. Release it in the end.
func (r *ReplyLimiter) LimitBody(resp *http.Response) *LimitedBody {
	b := &LimitedBody{body: resp.Body, replies: r, limit: maxUnstatedBytes}
	if resp.ContentLength >= 0 {
		b.limit = maxStatedBytes
		b.refused = resp.ContentLength > maxStatedBytes
	}
	return b
}

// LimitedBody is the body of one reply with its limits.
type LimitedBody struct {
	body    io.Reader
	replies *ReplyLimiter
	limit   int64
	// refused tells that the stated length exceeds the limit.
	refused bool
	read    int64
	held    int64
}

// Read implements io.Reader.
func (b *LimitedBody) Read(p []byte) (int, error) {
	if b.refused {
		return 0, ErrTooLarge
	}
	n, err := b.body.Read(p)
	b.read += int64(n)
	if b.read > b.limit || !b.hold() {
		return 0, ErrTooLarge
	}
	return n, err
}

// hold counts what was read beyond smallBytes, and tells whether there is room for it.
func (b *LimitedBody) hold() bool {
	more := b.read - smallBytes - b.held
	if more <= 0 {
		return true
	}
	b.held += more
	return b.replies.held.Add(more) <= maxHeldBytes
}

// Release gives back what the reply held. Call it when the reply was read or failed.
func (b *LimitedBody) Release() {
	b.replies.held.Add(-b.held)
	b.held = 0
}
