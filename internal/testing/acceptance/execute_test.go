package acceptance_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestAcceptance(t *testing.T) { suite.Run(t, "./internal/testing/acceptance") }

const (
	storeDelay = 500 * time.Millisecond
	deadlineMs = 1000
)

// deployment is a store with the configuration of one service, and the backend server of that service. Specs start daemons
// on it.
type deployment struct {
	store           *platformserver.Server
	platformAddress string
	backendServer   *backendserver.Server
}

func newDeployment(ctx context.Context) *deployment {
	s := &deployment{store: platformserver.New()}
	endpoint, err := s.store.Listen("127.0.0.1:0", "luzon")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(endpoint.Close)
	s.platformAddress = endpoint.Address()
	s.backendServer = backendserver.New(backendserver.Config{Name: "ledger-1", Shard: "all", Slots: 2})
	Expect(s.backendServer.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.backendServer.Close)
	c := configure.Configurer{Store: s.store.Data(), Now: time.Now}
	result := c.Apply(ctx, configure.Change{
		Editor: "test", Reason: "test",
		Inventory: model.Inventory{
			MaxInstances: 2, Zones: []model.ZoneSpec{{Name: "luzon", Region: "luzon"}},
			Services: []model.ServiceSpec{{Name: "payouts", ShardMapEpoch: 1, Shards: []model.ShardSpec{{
				Name: "all", KeyTo: model.KeySpace, Servers: []model.ServerSpec{
					{Name: "ledger-1", Address: s.backendServer.Address(), Zone: "luzon", Slots: 2, Connections: 8},
				},
			}}}},
		},
		Rules: model.Rules{
			Ranks: []model.RankRule{
				{Rank: "urgent", TargetMs: 1000}, {Rank: "standard", TargetMs: 1000}, {Rank: "deferred", TargetMs: 1000},
			},
			Hedge:     model.HedgeRule{WindowMs: 10_000, Quantile: 0.95},
			Retry:     model.RetryRule{WindowMs: 10_000, MaxAttempts: 3},
			Deadlines: model.DeadlineRule{DefaultMs: 10_000, MaxMs: 20_000},
		},
	})
	Expect(result.Verdict).To(Equal(configure.Accepted), "%+v", result)
	return s
}

// startDaemon starts a daemon in this process, waits until it is ready and returns the URL of its caller listener.
func (s *deployment) startDaemon(name model.InstanceID) string {
	set := settings.Defaults()
	set.Instance, set.Zone, set.Region, set.PlatformAddress = name, "luzon", "luzon", s.platformAddress
	set.CallerAddress, set.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0"
	set.DrainGraceMs = 0
	set.OperatorToken, set.PeerToken = "token-of-the-operators", "token-of-the-peers"
	d, err := daemon.Start(set, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Stop)
	return awaitReady("http://" + d.CallerAddress())
}

// startProcess builds the daemon, starts it as a process, waits until it is ready and returns it with the URL of its caller
// listener. The process is killed after the spec.
func (s *deployment) startProcess() (*exec.Cmd, string) {
	dir := GinkgoT().TempDir()
	binary, file := filepath.Join(dir, "oleandersilld"), filepath.Join(dir, "settings.yaml")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/oleandersilld").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	Expect(os.WriteFile(file, fmt.Appendf(nil, `{instance: entry-9, zone: luzon, region: luzon,
caller_address: 127.0.0.1:0, operator_address: 127.0.0.1:0, platform_address: %s,
operator_token: token-of-the-operators, peer_token: token-of-the-peers}`, s.platformAddress), 0o600)).To(Succeed())
	cmd := exec.Command(binary, "-settings", file)
	logs, err := cmd.StderrPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	lines, printed := bufio.NewScanner(logs), ""
	for lines.Scan() {
		printed += lines.Text() + "\n"
		if m := regexp.MustCompile(`caller_address=(\S+)`).FindStringSubmatch(printed); m != nil {
			go func() { _, _ = io.Copy(io.Discard, logs) }()
			return cmd, awaitReady("http://" + m[1])
		}
	}
	Fail("the daemon exited before it logged its caller address: " + printed)
	return nil, ""
}

// awaitReady waits until the daemon at the URL is ready, and returns the URL.
func awaitReady(base string) string {
	Eventually(func() int {
		status, _ := get(base + "/readyz")
		return status
	}).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	return base
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data)
}

// executeReply is a daemon's reply and the number of runs that the server has recorded when it arrives.
type executeReply struct {
	Outcome model.Outcome `json:"outcome"`
	Reason  string        `json:"reason"`
	runs    int
}

// execute sends a non-idempotent request to a daemon. It returns the zero reply if the connection fails.
func (s *deployment) execute(base, key string, first bool, deadline int) executeReply {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/services/payouts/execute", strings.NewReader(`{"body":"12"}`))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Caller", "desk")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline))
	req.Header.Set("X-First-Attempt", fmt.Sprint(first))
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return executeReply{}
	}
	defer resp.Body.Close()
	var reply executeReply
	Expect(json.NewDecoder(resp.Body).Decode(&reply)).To(Succeed())
	reply.runs = s.backendServer.Record().RunsByKey()[key]
	return reply
}

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// Guards against a reply that contradicts whether the server ran the request, against a second run at a retry, and against
// a request that a daemon sends after its claim window has passed.
var _ = Describe("a non-idempotent request", func() {
	var s *deployment
	BeforeEach(func(ctx SpecContext) { s = newDeployment(ctx) })

	DescribeTable("gets an outcome that agrees with the server's record under a fault, and so does a retry through another daemon",
		func(server backendserver.Faults, store platformserver.Faults, first, retry executeReply) {
			bases := [2]string{s.startDaemon("entry-1"), s.startDaemon("entry-2")}
			for _, base := range bases {
				Expect(s.execute(base, newIdempotencyKey(), false, deadlineMs).Outcome).To(Equal(model.OutcomeComplete))
			}
			s.backendServer.SetFaults(server)
			s.store.SetFaults(store)
			key := newIdempotencyKey()
			got := [2]executeReply{s.execute(bases[0], key, true, deadlineMs)}
			s.backendServer.SetFaults(backendserver.Faults{})
			s.store.SetFaults(platformserver.Faults{})
			got[1] = s.execute(bases[1], key, false, deadlineMs)
			Expect(got).To(Equal([2]executeReply{first, retry}))
		},
		Entry("server draining", backendserver.Faults{Draining: true}, platformserver.Faults{},
			executeReply{model.OutcomeNotRun, "draining", 0}, executeReply{model.OutcomeComplete, "", 1}),
		Entry("connection cut after the run", backendserver.Faults{LostReplies: 1}, platformserver.Faults{},
			executeReply{model.OutcomeUnknown, "lost", 1}, executeReply{model.OutcomeUnknown, "claimed_by_another_attempt", 1}),
		Entry("crossed reply", backendserver.Faults{CrossedReplies: 1}, platformserver.Faults{},
			executeReply{model.OutcomeUnknown, "mismatched", 1}, executeReply{model.OutcomeUnknown, "claimed_by_another_attempt", 1}),
		Entry("server runs it and reports an error", backendserver.Faults{FailedRequests: 1}, platformserver.Faults{},
			executeReply{model.OutcomeUnknown, "failed", 1}, executeReply{model.OutcomeUnknown, "claimed_by_another_attempt", 1}),
		Entry("reply later than the deadline", backendserver.Faults{LateReplies: 1, LateBy: 2 * deadlineMs * time.Millisecond},
			platformserver.Faults{},
			executeReply{model.OutcomeUnknown, "lost", 1}, executeReply{model.OutcomeUnknown, "claimed_by_another_attempt", 1}),
		Entry("store down", backendserver.Faults{}, platformserver.Faults{Down: true},
			executeReply{model.OutcomeNotRun, "store_unreachable", 0}, executeReply{model.OutcomeComplete, "", 1}),
		Entry("store slower than the deadline", backendserver.Faults{}, platformserver.Faults{Delay: 2 * time.Second},
			executeReply{model.OutcomeNotRun, "store_unreachable", 0}, executeReply{model.OutcomeComplete, "", 1}),
		Entry("every reply to a write lost", backendserver.Faults{}, platformserver.Faults{LostReplies: 1},
			executeReply{model.OutcomeComplete, "", 1}, executeReply{model.OutcomeComplete, "", 1}),
	)

	DescribeTable("is not sent by a daemon process that was stopped after writing the claim",
		func(resumed bool, first, retry executeReply) {
			process, base := s.startProcess()
			s.store.SetFaults(platformserver.Faults{Delay: storeDelay})
			key := newIdempotencyKey()
			answered := make(chan executeReply, 1)
			go func() {
				defer GinkgoRecover()
				answered <- s.execute(base, key, true, 20_000)
			}()
			claims := func() int { return s.store.Counts()[platformserver.KindPut].Calls }
			Eventually(claims).WithTimeout(5 * time.Second).WithPolling(5 * time.Millisecond).Should(Equal(1))
			Expect(process.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(claim.SendWindow + storeDelay)
			_, err := s.store.Data().Get(context.Background(), "claims/payouts/"+key)
			Expect(err).NotTo(HaveOccurred(), "the claim takes effect while the daemon is stopped")
			s.store.SetFaults(platformserver.Faults{})
			if resumed {
				Expect(process.Process.Signal(syscall.SIGCONT)).To(Succeed())
			} else {
				Expect(process.Process.Kill()).To(Succeed())
			}
			Eventually(answered).WithTimeout(10 * time.Second).Should(Receive(Equal(first)))
			Expect(s.execute(s.startDaemon("entry-1"), key, false, deadlineMs)).To(Equal(retry))
		},
		Entry("and resumed after its claim window", true,
			executeReply{model.OutcomeNotRun, "claim_window_passed", 0}, executeReply{model.OutcomeComplete, "", 1}),
		Entry("and killed", false,
			executeReply{}, executeReply{model.OutcomeUnknown, "claimed_by_another_attempt", 0}),
	)

	// Guards against additional store calls for each request, and against requests that the metrics do not count.
	It("costs two store writes and one lease, and is counted in the metrics under the inventory's service name", func() {
		base := s.startDaemon("entry-1")
		Expect(s.execute(base, newIdempotencyKey(), false, deadlineMs).Outcome).To(Equal(model.OutcomeComplete))
		Expect(s.store.Counts()[platformserver.KindPut].Calls).To(Equal(2))
		Expect(s.store.Counts()[platformserver.KindGrant].Calls).To(Equal(1))
		Eventually(func() string {
			_, page := get(base + "/metrics")
			return page
		}).WithTimeout(5 * time.Second).Should(And(
			ContainSubstring(`oleandersill_requests_total{outcome="complete",rank="deferred",service="payouts"} 1`),
			ContainSubstring(`oleandersill_attempts_total{service="payouts",status="ok"} 1`),
			ContainSubstring(`oleandersill_config_revision 1`),
			ContainSubstring(`oleandersill_servers{service="payouts",state="ordinary"} 1`),
		))
	})
})
