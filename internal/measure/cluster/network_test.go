package cluster

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestCluster(t *testing.T) { suite.Run(t, "./internal/measure/cluster") }

var _ = Describe("the emulated network", func() {
	// Guards against latencies that a message takes twice, and against messages that cross a partition.
	It("delays each message once and holds back messages during a partition", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err == nil {
				_, _ = io.Copy(c, c)
			}
		}()
		n := NewNetwork()
		n.Register(l.Addr().String(), Location{Zone: "b", Region: "far"})
		c, err := n.Dialer(Location{Zone: "a", Region: "near"})(context.Background(), "tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		echo := func() time.Duration {
			begin := time.Now()
			_, err := c.Write([]byte("query"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(c, make([]byte, 5))
			Expect(err).NotTo(HaveOccurred())
			return time.Since(begin)
		}
		// An echo with a message that is delayed twice never takes less than three latencies. On a busy machine an echo with
		// correct delays may occasionally take longer than that.
		Eventually(func() time.Duration {
			took := echo()
			Expect(took).To(BeNumerically(">=", 2*latencyRegions))
			return took
		}).WithTimeout(10 * time.Second).Should(BeNumerically("<", 3*latencyRegions))
		n.Partition("a")
		time.AfterFunc(100*time.Millisecond, func() { n.Heal("a") })
		Expect(echo()).To(BeNumerically(">=", 100*time.Millisecond))
	})
})
