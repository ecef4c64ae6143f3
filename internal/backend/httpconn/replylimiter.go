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
	// maxKnownLengthBytes bounds the body of a reply with a Content-Length, and maxUnknownLengthBytes that of any other, which
	// may never end.
	maxKnownLengthBytes   = 8 << 20
	maxUnknownLengthBytes = 1 << 20
	// uncountedBytes is how much of each reply does not count toward maxCountedBytes, which bounds the memory that all replies
	// use together while they are read unless ReplyLimiter.MaxBytes is set.
	uncountedBytes  = 64 << 10
	maxCountedBytes = 32 << 20
)

// ErrTooLarge means that a reply exceeds its limit, or that all replies being read together exceed theirs.
var ErrTooLarge = errors.New("httpconn: reply too large")

// ReplyLimiter bounds the memory used by replies while they are read from servers. The zero value is ready to use.
type ReplyLimiter struct {
	// MaxBytes bounds what all replies use together, apart from the beginning of each; 0 means 32 MB.
	MaxBytes     int64
	countedBytes atomic.Int64
}

// maxBytes returns the bound of all replies together.
func (r *ReplyLimiter) maxBytes() int64 {
	if r.MaxBytes > 0 {
		return r.MaxBytes
	}
	return maxCountedBytes
}

// LimitBody returns the body of a reply, whose reads fail with ErrTooLarge if it exceeds the limits. The caller must call
// Release when it has finished reading.
func (r *ReplyLimiter) LimitBody(resp *http.Response) *LimitedBody {
	b := &LimitedBody{body: resp.Body, limiter: r, maxBytes: maxUnknownLengthBytes}
	if resp.ContentLength >= 0 {
		b.maxBytes = maxKnownLengthBytes
		b.tooLong = resp.ContentLength > maxKnownLengthBytes
	}
	return b
}

// LimitedBody is the body of a reply with limits on its size.
type LimitedBody struct {
	body     io.Reader
	limiter  *ReplyLimiter
	maxBytes int64
	// tooLong means that the Content-Length exceeds maxBytes.
	tooLong   bool
	readBytes int64
	// countedBytes is the part of readBytes that is counted in the limiter.
	countedBytes int64
}

// Read implements io.Reader.
func (b *LimitedBody) Read(p []byte) (int, error) {
	if b.tooLong {
		return 0, ErrTooLarge
	}
	n, err := b.body.Read(p)
	b.readBytes += int64(n)
	if b.readBytes > b.maxBytes || !b.count() {
		return 0, ErrTooLarge
	}
	return n, err
}

// count adds the bytes read beyond uncountedBytes to the limiter's total, and reports whether the total is within its limit.
func (b *LimitedBody) count() bool {
	more := b.readBytes - uncountedBytes - b.countedBytes
	if more <= 0 {
		return true
	}
	b.countedBytes += more
	return b.limiter.countedBytes.Add(more) <= b.limiter.maxBytes()
}

// Release subtracts the reply from the limiter's total. It must be called after the reply was read or reading it failed.
func (b *LimitedBody) Release() {
	b.limiter.countedBytes.Add(-b.countedBytes)
	b.countedBytes = 0
}
