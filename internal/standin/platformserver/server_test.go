package platformserver_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPlatformServer(t *testing.T) { suite.Run(t, "./internal/standin/platformserver") }

const waitTimeout = 30 * time.Second

var _ = Describe("the stand-in for the platform", func() {
	contract.CheckGoroutineLeaks()
	var (
		server *platformserver.Server
		clock  *contract.Clock
	)
	BeforeEach(func() {
		clock = contract.NewClock(time.Unix(1_000_000, 0))
		server = platformserver.NewWith(platformserver.Config{Now: clock.Now})
	})

	connect := func(zone model.AvailabilityZone) *platformhttp.Client {
		endpoint, err := server.Listen("127.0.0.1:0", zone)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(endpoint.Close)
		client := platformhttp.New(endpoint.Address())
		DeferCleanup(client.Close)
		return client
	}

	// Guards against a cut-off that applies to the wrong zone, and against calls from a cut-off zone that are answered.
	It("does not answer a zone that is cut off and answers another zone", func(ctx SpecContext) {
		north, south := connect("north"), connect("south")
		server.SetFaults(platformserver.Faults{CutOffZones: []model.AvailabilityZone{"north"}})
		_, err := south.Put(ctx, "k", []byte("x"), 0, "")
		Expect(err).NotTo(HaveOccurred())
		northCtx, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			_, err := north.Get(northCtx, "k")
			ended <- err
		}()
		unanswered := func() int { return server.Counts()[platformserver.KindGet].Unanswered }
		Eventually(unanswered).WithTimeout(waitTimeout).Should(Equal(1))
		cancel()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(MatchError(platform.ErrUnavailable)))
	})

	// Guards against faults that are checked only when a call arrives, so that a waiting watch crosses a partition.
	It("does not report a change to a zone that was cut off during its watch", func(ctx SpecContext) {
		north, south := connect("north"), connect("south")
		northCtx, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			_, err := north.Watch(northCtx, "k", 0, waitTimeout)
			ended <- err
		}()
		calls := func() int { return server.Counts()[platformserver.KindWatch].Calls }
		Eventually(calls).WithTimeout(waitTimeout).Should(Equal(1))
		server.SetFaults(platformserver.Faults{CutOffZones: []model.AvailabilityZone{"north"}})
		_, err := south.Put(ctx, "k", []byte("x"), 0, "")
		Expect(err).NotTo(HaveOccurred())
		unanswered := func() int { return server.Counts()[platformserver.KindWatch].Unanswered }
		Eventually(unanswered).WithTimeout(waitTimeout).Should(Equal(1))
		cancel()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(MatchError(platform.ErrUnavailable)))
	})

	// Guards against a limit on writes that also refuses reads, and against a limit that is not reset after a second.
	It("limits the rates of writes and reads separately in each second", func(ctx SpecContext) {
		client := connect("")
		server.SetFaults(platformserver.Faults{WritesPerSecond: 1, ReadsPerSecond: 2})
		write := func() error { return client.Delete(ctx, "k", 0) }
		read := func() error { _, err := client.List(ctx, ""); return err }
		Expect(write()).To(Succeed())
		Expect(write()).To(MatchError(platform.ErrUnavailable))
		Expect(read()).To(Succeed())
		Expect(read()).To(Succeed())
		Expect(read()).To(MatchError(platform.ErrUnavailable))
		clock.Advance(time.Second)
		Expect(write()).To(Succeed())
		Expect(server.Counts()[platformserver.KindDelete]).To(Equal(platformserver.Counts{Calls: 3, Limited: 1}))
	})

	// Guards against a client that retries a write whose reply was lost instead of reporting an unknown outcome.
	It("receives a write whose reply is lost only once", func(ctx SpecContext) {
		client := connect("")
		_, err := client.Put(ctx, "warm", nil, 0, "")
		Expect(err).NotTo(HaveOccurred())
		server.SetFaults(platformserver.Faults{LostReplies: 1})
		_, err = client.Put(ctx, "k", []byte("x"), 0, "")
		Expect(err).To(MatchError(platform.ErrUnknown))
		Expect(server.Counts()[platformserver.KindPut].Calls).To(Equal(2))
		Expect(server.Counts()[platformserver.KindPut].BytesIn).To(BeNumerically(">", 0))
	})
})
