package httpconn_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend/httpconn"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestHTTPConn(t *testing.T) { suite.Run(t, "./internal/backend/httpconn") }

const (
	unknownLength = -1
	mebibyte      = 1 << 20
)

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func response(body io.Reader, contentLength int64) *http.Response {
	return &http.Response{Body: io.NopCloser(body), ContentLength: contentLength}
}

var _ = Describe("the body of a server's reply", func() {
	var limiter httpconn.ReplyLimiter
	read := func(resp *http.Response) (int, error) {
		b := limiter.LimitBody(resp)
		defer b.Release()
		data, err := io.ReadAll(b)
		return len(data), err
	}
	BeforeEach(func() { limiter = httpconn.ReplyLimiter{} })

	It("is read completely up to its limit, with and without a Content-Length", func() {
		// Guards against a failure of a reply that is within the limit.
		for _, contentLength := range []int64{unknownLength, mebibyte} {
			n, err := read(response(bytes.NewReader(make([]byte, mebibyte)), contentLength))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(mebibyte))
		}
	})

	It("fails if it does not end", func() {
		// Guards against a truncated reply that is treated as complete.
		_, err := read(response(endlessBody{}, unknownLength))
		Expect(err).To(MatchError(httpconn.ErrTooLarge))
	})

	It("is not read if its Content-Length exceeds the limit", func() {
		// Guards against reading a reply that has to be dropped anyway.
		n, err := read(response(endlessBody{}, 1<<40))
		Expect(err).To(MatchError(httpconn.ErrTooLarge))
		Expect(n).To(BeZero())
	})

	It("fails if it is large and all unreleased replies together use too much memory", func() {
		// Guards against a daemon that runs out of memory because many servers send endless replies at once.
		var unreleased []*httpconn.LimitedBody
		var failed error
		for failed == nil {
			Expect(len(unreleased)).To(BeNumerically("<", 64))
			b := limiter.LimitBody(response(bytes.NewReader(make([]byte, mebibyte)), unknownLength))
			unreleased = append(unreleased, b)
			_, failed = io.ReadAll(b)
		}
		Expect(failed).To(MatchError(httpconn.ErrTooLarge))
		n, err := read(response(bytes.NewReader(make([]byte, 1000)), unknownLength))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(1000))
		for _, b := range unreleased {
			b.Release()
		}
		_, err = read(response(bytes.NewReader(make([]byte, mebibyte)), unknownLength))
		Expect(err).NotTo(HaveOccurred())
	})
})
