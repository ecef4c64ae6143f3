package peer_test

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPeer(t *testing.T) { suite.Run(t, "./internal/peer") }

// queries is a service with the behaviour that a test gives it.
type queries struct {
	parts []peer.PackedPart
	delay chan struct{}
}

// Digest echoes what was sent.
func (q *queries) Digest(d peer.Digest, reply *peer.Digest) error {
	if q.delay != nil {
		<-q.delay
	}
	*reply = d
	return nil
}

// Parts returns the service's parts.
func (q *queries) Parts(_ peer.PartsRequest, reply *peer.PartsReply) error {
	reply.Parts = q.parts
	return nil
}

// Registry answers when the caller no longer waits for news, and has none.
func (q *queries) Registry(req peer.RegistryRequest, _ *peer.RegistryReply) error {
	time.Sleep(req.Wait)
	return nil
}

var _ = Describe("calls between daemons", func() {
	var traffic peer.Traffic
	var service *queries
	serve := func(address string) (string, func()) {
		server := peer.NewServer(tables.OrderPeers, "right", &traffic)
		server.Register(peer.ServiceQueries, service)
		l, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		srv := &http.Server{Handler: server}
		go func() { _ = srv.Serve(l) }()
		return l.Addr().String(), func() {
			_ = srv.Close()
			server.Close()
		}
	}
	client := func(token string) *peer.Client {
		c := peer.NewClient(peer.ClientConfig{
			Order: tables.OrderPeers, Token: token, Traffic: &traffic, Dial: (&net.Dialer{}).DialContext,
			MaxConns: peer.MaxControlConns,
		})
		DeferCleanup(c.Close)
		return c
	}
	BeforeEach(func() { service = &queries{} })

	It("carry typed messages, over one connection for several calls", func() {
		address, end := serve("127.0.0.1:0")
		defer end()
		c := client("right")
		sent := peer.Digest{From: model.Member{Instance: "i"}, InForce: model.Offer{Revision: 3, Root: "r"}}
		Expect(c.Digest(context.Background(), address, sent)).To(Equal(sent))
		before := traffic.Sent.Load()
		Expect(c.Digest(context.Background(), address, sent)).To(Equal(sent))
		Expect(traffic.Sent.Load()-before).To(BeNumerically("<", 400), "a second CONNECT and its types would be larger")
	})

	DescribeTable("are refused without the token",
		func(token string) {
			address, end := serve("127.0.0.1:0")
			defer end()
			_, err := client(token).Digest(context.Background(), address, peer.Digest{})
			Expect(err).To(MatchError(peer.ErrRefused))
		},
		Entry("none", ""),
		Entry("another", "wrong"),
		Entry("a prefix", "righ"),
		Entry("an extension", "right1"),
	)

	It("end at the caller's deadline while the peer hangs", func() {
		service.delay = make(chan struct{})
		address, end := serve("127.0.0.1:0")
		defer end()
		defer close(service.delay)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := client("right").Digest(ctx, address, peer.Digest{})
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	It("wait for news for as long as the caller asks", func() {
		// Guards against followers that take a source for lost where changes may take longer to be in force than a call.
		address, end := serve("127.0.0.1:0")
		defer end()
		const wait = 2500 * time.Millisecond
		_, err := client("right").Registry(context.Background(), address, spread.Position{}, wait)
		Expect(err).NotTo(HaveOccurred())
	})

	It("go on after the peer restarts at its address", func() {
		address, end := serve("127.0.0.1:0")
		c := client("right")
		_, err := c.Digest(context.Background(), address, peer.Digest{})
		Expect(err).NotTo(HaveOccurred())
		end()
		_, end = serve(address)
		defer end()
		Eventually(func() error {
			_, err := c.Digest(context.Background(), address, peer.Digest{})
			return err
		}).Should(Succeed())
	})

	DescribeTable("are cut off by a message above the limit, in both directions",
		func(call func(*peer.Client, string) error) {
			noise := make([]byte, 2<<20)
			_, _ = rand.Read(noise)
			service.parts = []peer.PackedPart{{Hash: "h", Gzip: noise}}
			address, end := serve("127.0.0.1:0")
			defer end()
			c := client("right")
			Expect(call(c, address)).To(HaveOccurred())
			_, err := c.Digest(context.Background(), address, peer.Digest{})
			Expect(err).NotTo(HaveOccurred(), "the next call gets a new connection")
		},
		Entry("request", func(c *peer.Client, address string) error {
			_, err := c.Parts(context.Background(), address, []configdoc.Hash{configdoc.Hash(strings.Repeat("x", 1<<20))})
			return err
		}),
		Entry("reply", func(c *peer.Client, address string) error {
			_, err := c.Parts(context.Background(), address, nil)
			return err
		}),
	)
})

var _ = Describe("packed values", func() {
	It("come back unchanged", func() {
		value := []byte(strings.Repeat("inventory ", 1000))
		packed := peer.Pack(configdoc.HashOf(value), value)
		Expect(len(packed.Gzip)).To(BeNumerically("<", len(value)/10))
		Expect(packed.Unpack()).To(Equal(value))
	})

	DescribeTable("are rejected",
		func(p peer.PackedPart) {
			_, err := p.Unpack()
			Expect(errors.Is(err, peer.ErrCorrupt)).To(BeTrue(), "%v", err)
		},
		Entry("with another value's hash", peer.Pack(configdoc.HashOf([]byte("a")), []byte("b"))),
		Entry("that are no gzip", peer.PackedPart{Hash: "x", Gzip: []byte("plain")}),
		Entry("that unpack to more than the store holds", func() peer.PackedPart {
			v := make([]byte, 2<<20)
			return peer.Pack(configdoc.HashOf(v), v)
		}()),
	)
})
