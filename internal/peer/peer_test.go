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

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPeer(t *testing.T) { suite.Run(t, "./internal/peer") }

// queries is a stub of the service PeerQueries.
type queries struct {
	// parts is the reply to Parts.
	parts []peer.PackedPart
	// block, if set, makes Digest wait until it is closed.
	block chan struct{}
	// batch is the batch that Forward received.
	batch forwarding.Batch
}

// Digest replies with the digest that was sent.
func (q *queries) Digest(d peer.Digest, reply *peer.Digest) error {
	if q.block != nil {
		<-q.block
	}
	*reply = d
	return nil
}

// Parts replies with q.parts.
func (q *queries) Parts(_ peer.PartsRequest, reply *peer.PartsReply) error {
	reply.Parts = q.parts
	return nil
}

// Registry replies with no changes after the whole wait of the request.
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
	newClient := func(token string) *peer.Client {
		c := peer.NewClient(peer.ClientConfig{
			Order: tables.OrderPeers, Token: token, Traffic: &traffic, Dial: (&net.Dialer{}).DialContext,
			MaxConns: peer.MaxControlConns,
		})
		DeferCleanup(c.Close)
		return c
	}
	BeforeEach(func() { service = &queries{} })

	It("carry typed messages and reuse the connection", func() {
		// Guards against opening a connection for every call, which sends CONNECT and the gob types each time.
		address, stop := serve("127.0.0.1:0")
		defer stop()
		c := newClient("right")
		sent := peer.Digest{From: model.Member{Instance: "i"}, InForce: model.Offer{Revision: 3, Root: "r"}}
		Expect(c.Digest(context.Background(), address, sent)).To(Equal(sent))
		before := traffic.Sent.Load()
		Expect(c.Digest(context.Background(), address, sent)).To(Equal(sent))
		Expect(traffic.Sent.Load()-before).To(BeNumerically("<", 400), "a new connection would send more")
	})

	// Guards against a server that accepts a token which only partly matches its own.
	DescribeTable("are refused with a missing or wrong token",
		func(token string) {
			address, stop := serve("127.0.0.1:0")
			defer stop()
			_, err := newClient(token).Digest(context.Background(), address, peer.Digest{})
			Expect(err).To(MatchError(peer.ErrRefused))
		},
		Entry("none", ""),
		Entry("another", "wrong"),
		Entry("a prefix", "righ"),
		Entry("an extension", "right1"),
	)

	It("end at the requester's deadline if the peer does not answer", func() {
		// Guards against a requester that blocks until the peer answers.
		service.block = make(chan struct{})
		address, stop := serve("127.0.0.1:0")
		defer stop()
		defer close(service.block)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := newClient("right").Digest(ctx, address, peer.Digest{})
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	Describe("on connections that may be silent", func() {
		const patience = 100 * time.Millisecond
		var dialer *silentDialer
		var client *peer.Client
		var addresses []string
		call := func(n int) error {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			_, err := client.Digest(ctx, addresses[n], peer.Digest{})
			return err
		}
		BeforeEach(func() {
			dialer = &silentDialer{dials: map[string]int{}}
			client = peer.NewClient(peer.ClientConfig{
				Order: tables.OrderPeers, Token: "right", Traffic: &traffic, Dial: dialer.dial, MaxConns: peer.MaxControlConns,
			})
			DeferCleanup(client.Close)
			addresses = nil
			for n := range 2 {
				address, stop := serve("127.0.0.1:0")
				DeferCleanup(stop)
				addresses = append(addresses, address)
				Expect(call(n)).To(Succeed())
			}
		})

		It("use new ones once a call got no reply", func() {
			// Guards against a daemon that finds out for one connection after the other that all of them are silent.
			dialer.silence()
			Expect(call(0)).To(MatchError(context.DeadlineExceeded))
			Expect(call(1)).To(Succeed())
			Expect(call(0)).To(Succeed())
		})

		It("use those again on which a reply arrived since", func() {
			// Guards against closing all connections because one daemon does not answer.
			waiting := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				_, err := client.Registry(ctx, addresses[0], gossip.Position{}, nil, 3*patience)
				waiting <- err
			}()
			time.Sleep(patience / 4)
			Expect(call(1)).To(Succeed())
			Expect(<-waiting).To(MatchError(context.DeadlineExceeded))
			Expect(call(1)).To(Succeed())
			Expect(dialer.dialled(addresses[1])).To(Equal(1))
			Expect(dialer.dialled(addresses[0])).To(Equal(1))
			Expect(call(0)).To(Succeed())
			Expect(dialer.dialled(addresses[0])).To(Equal(2))
		})
	})

	It("wait for registry changes as long as the requester asks", func() {
		// Guards against a follower that treats a source without changes as unresponsive, because the wait of the request is
		// longer than the timeout of other calls.
		address, stop := serve("127.0.0.1:0")
		defer stop()
		const wait = 2500 * time.Millisecond
		_, err := newClient("right").Registry(context.Background(), address, gossip.Position{}, nil, wait)
		Expect(err).NotTo(HaveOccurred())
	})

	It("state the time that is left when the connection is there, not when the batch was made", func() {
		// Guards against servers that work for callers who have stopped waiting, after a connection to a restarted daemon took long.
		const connecting, timeout = 300 * time.Millisecond, time.Second
		address, stop := serve("127.0.0.1:0")
		defer stop()
		c := peer.NewClient(peer.ClientConfig{
			Order: tables.OrderPeers, Token: "right", Traffic: &traffic, MaxConns: peer.MaxDataConns,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				time.Sleep(connecting)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			},
		})
		DeferCleanup(c.Close)
		deadline := time.Now().Add(timeout)
		batch := forwarding.Batch{Queries: []forwarding.Query{{
			Left: timeout, Request: backend.QueryRequest{Deadline: deadline}, Gather: &forwarding.Gather{Due: deadline, DueLeft: timeout},
		}}}
		_, err := c.Forward(context.Background(), address, batch)
		Expect(err).NotTo(HaveOccurred())
		q := service.batch.Queries[0]
		Expect(q.Left).To(And(BeNumerically("<=", timeout-connecting), BeNumerically(">", 0)))
		Expect(q.Gather.DueLeft).To(BeNumerically("<=", timeout-connecting))
		Expect(q.Request.Deadline).To(BeZero(), "clocks of daemons differ")
	})

	It("succeed again after the peer restarts at the same address", func() {
		// Guards against a kept connection that is used further although the peer has closed it.
		address, stop := serve("127.0.0.1:0")
		c := newClient("right")
		_, err := c.Digest(context.Background(), address, peer.Digest{})
		Expect(err).NotTo(HaveOccurred())
		stop()
		_, stop = serve(address)
		defer stop()
		Eventually(func() error {
			_, err := c.Digest(context.Background(), address, peer.Digest{})
			return err
		}).Should(Succeed())
	})

	// Guards against a peer that exhausts the memory of another with one message.
	DescribeTable("fail if a message exceeds the maximum size, and close the connection",
		func(call func(*peer.Client, string) error) {
			noise := make([]byte, 2<<20)
			_, _ = rand.Read(noise)
			service.parts = []peer.PackedPart{{Hash: "h", Gzip: noise}}
			address, stop := serve("127.0.0.1:0")
			defer stop()
			c := newClient("right")
			Expect(call(c, address)).To(HaveOccurred())
			_, err := c.Digest(context.Background(), address, peer.Digest{})
			Expect(err).NotTo(HaveOccurred(), "the next call opens a new connection")
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

var _ = Describe("compressed values", func() {
	It("are unchanged after decompression", func() {
		// Guards against values that are damaged or sent uncompressed.
		value := []byte(strings.Repeat("inventory ", 1000))
		packed := peer.Pack(configdoc.HashOf(value), value)
		Expect(len(packed.Gzip)).To(BeNumerically("<", len(value)/10))
		Expect(packed.Unpack()).To(Equal(value))
	})

	// Guards against values that were corrupted on the way or that exhaust the memory of the receiver.
	DescribeTable("are rejected",
		func(p peer.PackedPart) {
			_, err := p.Unpack()
			Expect(errors.Is(err, peer.ErrCorrupt)).To(BeTrue(), "%v", err)
		},
		Entry("with the hash of another value", peer.Pack(configdoc.HashOf([]byte("a")), []byte("b"))),
		Entry("that are not in gzip format", peer.PackedPart{Hash: "x", Gzip: []byte("plain")}),
		Entry("that decompress to more than the store accepts", func() peer.PackedPart {
			v := make([]byte, 2<<20)
			return peer.Pack(configdoc.HashOf(v), v)
		}()),
	)
})
