package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/testing/freeport"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestDaemon(t *testing.T) { suite.Run(t, "./internal/daemon") }

// propagationLimit is the target time for a configuration change to take effect. Other waits use it as a generous limit.
const propagationLimit = 16 * time.Second

const loopback = "127.0.0.1:0"

func freeAddress() string { return freeport.Next(freeport.Daemon) }

// configuration returns a change to a configuration with one shard, held by server.
func configuration(server string) configure.Change {
	return configure.Change{
		Inventory: model.Inventory{
			MaxInstances: 1, SurgeInstances: 1,
			Zones: []model.ZoneSpec{{Name: "a", Region: "r"}},
			Services: []model.ServiceSpec{{Name: "search", ShardMapEpoch: 1, Shards: []model.ShardSpec{
				{Name: "s0", KeyTo: model.KeySpace, Servers: []model.ServerSpec{
					{Name: "srv", Address: server, Zone: "a", Slots: 4, Connections: 8},
				}},
			}}},
		},
		Rules: model.Rules{
			Ranks: []model.RankRule{
				{Rank: "urgent", MinShare: 0.6, TargetMs: 150, MaxQueueMs: 5000},
				{Rank: "standard", MinShare: 0.3, TargetMs: 300, MaxQueueMs: 5000},
				{Rank: "deferred", MinShare: 0.1, TargetMs: 1000, MaxQueueMs: 5000},
			},
			Hedge:     model.HedgeRule{WindowMs: 10_000, Quantile: 0.95},
			Retry:     model.RetryRule{WindowMs: 10_000, MaxAttempts: 1},
			Deadlines: model.DeadlineRule{DefaultMs: 8_000, MaxMs: 10_000},
		},
		Editor: "test", Reason: "test",
	}
}

func get(address, path string) (int, string) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// readiness returns a function that returns the status code of the daemon's readiness endpoint.
func readiness(d *daemon.Daemon) func() int {
	return func() int {
		code, _ := get(d.CallerAddress(), "/readyz")
		return code
	}
}

var _ = Describe("the lifecycle of a daemon", func() {
	var (
		p        *platformserver.Server
		s        settings.Settings
		endpoint *netfault.Endpoint
		log      *syncBuffer
	)
	BeforeEach(func() {
		p = platformserver.New()
		var err error
		endpoint, err = p.Listen(loopback, "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(endpoint.Close)
		s = settings.Defaults()
		s.Instance, s.Zone, s.Region = "entry-0", "a", "r"
		s.CallerAddress, s.OperatorAddress, s.PeerAddress = loopback, loopback, loopback
		s.PlatformAddress, s.WorkersPerRank = endpoint.Address(), 4
		log = &syncBuffer{}
	})
	start := func() *daemon.Daemon {
		d, err := daemon.Start(s, zerolog.New(log))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Stop)
		return d
	}
	apply := func(server string) {
		c := configure.Configurer{Store: p.Data(), Now: time.Now}
		Expect(c.Apply(context.Background(), configuration(server)).Verdict).To(Equal(configure.Accepted))
	}

	It("is not ready without a configuration, logs that once, and becomes ready when one is applied", func() {
		// Guards against readiness before requests can be routed, and against logging the missing configuration with every read.
		p.SetFaults(platformserver.Faults{Down: true})
		d := start()
		Expect(readiness(d)()).To(Equal(http.StatusServiceUnavailable))
		_, body := get(d.CallerAddress(), "/readyz")
		Expect(body).To(ContainSubstring("no configuration"))
		Eventually(log.String, propagationLimit).Should(ContainSubstring("config_missing"))
		p.SetFaults(platformserver.Faults{})
		apply("127.0.0.1:9")
		Eventually(readiness(d), propagationLimit).Should(Equal(http.StatusOK))
		Expect(strings.Count(log.String(), "config_missing")).To(Equal(1))
		st := readStatus(d)
		Expect(st.Revision).To(Equal(model.Revision(1)))
		Expect(st.StoreContact).To(BeTemporally("~", time.Now(), time.Minute))
	})

	DescribeTable("leaves no port open when it cannot start",
		func(occupy func(address string)) {
			// Guards against ports that stay open after a failed start, so that the next start fails too.
			blocker, err := net.Listen("tcp", loopback)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(blocker.Close)
			s.CallerAddress, s.OperatorAddress, s.PeerAddress = freeAddress(), freeAddress(), freeAddress()
			occupy(blocker.Addr().String())
			_, err = daemon.Start(s, zerolog.New(log))
			Expect(err).To(HaveOccurred())
			for _, address := range []string{s.CallerAddress, s.OperatorAddress, s.PeerAddress} {
				if address == blocker.Addr().String() {
					continue
				}
				l, err := net.Listen("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				Expect(l.Close()).To(Succeed())
			}
		},
		Entry("because its peers' port is in use", func(address string) { s.PeerAddress = address }),
		Entry("because its callers' port is in use", func(address string) { s.CallerAddress = address }),
		Entry("because its operators' port is in use", func(address string) { s.OperatorAddress = address }),
	)

	// Guards against a drain that cuts off requests (guarantee G7): those sent before the drain or during its grace time
	// complete, even if they take longer than the drain's timeout.
	It("completes requests that are in flight when a drain starts or that arrive during its grace time", func() {
		server := backendserver.New(backendserver.Config{
			Shard: "s0", Epoch: 1, Version: 1, Slots: 4, ServiceTime: 3 * time.Second, Items: 3,
		})
		backend := netfault.NewEndpoint(server, netfault.Config{})
		Expect(backend.Open(loopback)).To(Succeed())
		DeferCleanup(backend.Close)
		apply(backend.Address())
		s.DrainGraceMs, s.DrainTimeoutMs = 2000, 2000
		d := start()
		Eventually(readiness(d), propagationLimit).Should(Equal(http.StatusOK))
		answers := make(chan string, 2)
		query := func() { answers <- queryOutcome(d) }
		go query()
		resp, err := http.Post("http://"+d.OperatorAddress()+"/v1/drain", "application/json", nil)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusAccepted))
		Expect(readiness(d)()).To(Equal(http.StatusServiceUnavailable))
		go query()
		Eventually(answers, propagationLimit).Should(Receive(Equal("complete")))
		Eventually(answers, propagationLimit).Should(Receive(Equal("complete")))
		Eventually(d.Drained(), propagationLimit).Should(BeClosed())
		code, _ := get(d.CallerAddress(), "/readyz")
		Expect(code).To(BeZero(), "the port is closed")
	})
})
