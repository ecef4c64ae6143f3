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
	unstated = -1
	mebibyte = 1 << 20
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func response(body io.Reader, stated int64) *http.Response {
	return &http.Response{Body: io.NopCloser(body), ContentLength: stated}
}

var _ = Describe("the body of a server's reply", func() {
	var replies httpconn.ReplyLimiter
	read := func(resp *http.Response) (int, error) {
		b := replies.LimitBody(resp)
		defer b.Release()
		data, err := io.ReadAll(b)
		return len(data), err
	}
	BeforeEach(func() { replies = httpconn.ReplyLimiter{} })

	It("is read whole up to its limit, with and without a stated length", func() {
		for _, stated := range []int64{unstated, mebibyte} {
			n, err := read(response(bytes.NewReader(make([]byte, mebibyte)), stated))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(mebibyte))
		}
	})

	It("fails when it does not end", func() {
		// Guards against a part of a reply that is taken for the whole of it.
		_, err := read(response(endless{}, unstated))
		Expect(err).To(MatchError(httpconn.ErrTooLarge))
	})

	It("is not read when it states more than its limit", func() {
		n, err := read(response(endless{}, 1<<40))
		Expect(err).To(MatchError(httpconn.ErrTooLarge))
		Expect(n).To(BeZero())
	})

	It("fails when all replies together hold too much, and gives back what it held", func() {
		// Guards against a daemon that is killed for its memory since many servers send without end at once.
		var held []*httpconn.LimitedBody
		var failed error
		for failed == nil {
			Expect(len(held)).To(BeNumerically("<", 64))
			b := replies.LimitBody(response(bytes.NewReader(make([]byte, mebibyte)), unstated))
			held = append(held, b)
			_, failed = io.ReadAll(b)
		}
		Expect(failed).To(MatchError(httpconn.ErrTooLarge))
		n, err := read(response(bytes.NewReader(make([]byte, 1000)), unstated))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(1000))
		for _, b := range held {
			b.Release()
		}
		_, err = read(response(bytes.NewReader(make([]byte, mebibyte)), unstated))
		Expect(err).NotTo(HaveOccurred())
	})
})
