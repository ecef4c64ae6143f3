package netfault_test

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestNetfault(t *testing.T) { suite.Run(t, "./internal/standin/netfault") }

var _ = Describe("an endpoint", func() {
	contract.CheckGoroutineLeaks()
	open := func(cfg netfault.Config) *netfault.Endpoint {
		e := netfault.NewEndpoint(http.NotFoundHandler(), cfg)
		Expect(e.Open("127.0.0.1:0")).To(Succeed())
		DeferCleanup(e.Close)
		return e
	}
	dial := func(e *netfault.Endpoint) net.Conn {
		c, err := net.Dial("tcp", e.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}

	// Guards against closed connections that still count towards the limit, and against refused ones that the client takes
	// for connections closed normally.
	It("resets connections beyond its limit and accepts new ones after others are closed", func() {
		e := open(netfault.Config{MaxConnections: 1})
		first := dial(e)
		Eventually(func() int { return e.Counts().Open }).WithTimeout(30 * time.Second).Should(Equal(1))
		// The reset may reach the client while it connects or when it reads.
		second, err := net.Dial("tcp", e.Address())
		if err == nil {
			DeferCleanup(second.Close)
			_, err = io.ReadAll(second)
		}
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(e.Counts()).To(Equal(netfault.Counts{Open: 1, Accepted: 1, Refused: 1, Peak: 1}))
		Expect(first.Close()).To(Succeed())
		Eventually(func() int { return e.Counts().Open }).WithTimeout(30 * time.Second).Should(Equal(0))
		dial(e)
		Eventually(func() int { return e.Counts().Accepted }).WithTimeout(30 * time.Second).Should(Equal(2))
	})

	// Guards against a connection cost that is not applied to every connection.
	It("delays each new connection by the connection cost, one after the other", func() {
		const cost = 20 * time.Millisecond
		e := open(netfault.Config{ConnectionCost: cost})
		start := time.Now()
		for range 3 {
			c := dial(e)
			_, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(c)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically(">=", 3*cost))
	})

	// Guards against a second listener that replaces the first, which would then never be closed.
	It("returns ErrOpen when it is opened twice", func() {
		e := open(netfault.Config{})
		Expect(e.Open("127.0.0.1:0")).To(MatchError(netfault.ErrOpen))
	})
})
