package main_test

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

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestProcess(t *testing.T) { suite.Run(t, "./cmd/oleandersilld") }

const storeDelay = 500 * time.Millisecond

var _ = Describe("a daemon process", func() {
	var (
		store  *platformserver.Server
		ledger *backendserver.Server
		daemon *exec.Cmd
		base   string
	)
	BeforeEach(func(ctx SpecContext) {
		store = platformserver.New()
		endpoint, err := store.Listen("127.0.0.1:0", "luzon")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(endpoint.Shut)
		ledger = backendserver.New(backendserver.Config{Name: "ledger-1", Shard: "all", Slots: 2})
		Expect(ledger.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(ledger.Close)
		accept(ctx, store, ledger.Address())
		daemon, base = start(endpoint.Address())
		Eventually(func() int { return get(base + "/readyz") }).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	}, NodeTimeout(time.Minute))

	It("sends nothing when it was stopped past its claim window, and runs the request once on a retry", func() {
		store.SetFaults(platformserver.Faults{Delay: storeDelay})
		key := uuid.Must(uuid.NewV7()).String()
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- execute(base, key)
		}()
		claims := func() int { return store.Counts()[platformserver.KindPut].Calls }
		Eventually(claims).WithTimeout(5 * time.Second).WithPolling(5 * time.Millisecond).Should(Equal(1))
		Expect(daemon.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(claim.Window + storeDelay)
		_, err := store.Data().Get(context.Background(), "claims/payouts/"+key)
		Expect(err).NotTo(HaveOccurred(), "the claim took effect while the daemon was stopped")
		store.SetFaults(platformserver.Faults{})
		Expect(daemon.Process.Signal(syscall.SIGCONT)).To(Succeed())

		var got reply
		Eventually(answered).WithTimeout(10 * time.Second).Should(Receive(&got))
		Expect(got.Outcome).To(Equal(model.OutcomeNotRun))
		Expect(got.Reason).To(Equal("claim_window_passed"))
		Expect(ledger.Record().RunsByKey()[key]).To(BeZero())

		Expect(execute(base, key).Outcome).To(Equal(model.OutcomeComplete))
		Expect(ledger.Record().RunsByKey()[key]).To(Equal(1))
	})

	It("serves metrics with the inventory's names", func() {
		Expect(execute(base, uuid.Must(uuid.NewV7()).String()).Outcome).To(Equal(model.OutcomeComplete))
		Eventually(func() string { return read(base + "/metrics") }).WithTimeout(5 * time.Second).Should(And(
			ContainSubstring(`oleandersill_requests_total{outcome="complete",rank="deferred",service="payouts"} 1`),
			ContainSubstring(`oleandersill_attempts_total{service="payouts",status="ok"} 1`),
			ContainSubstring(`oleandersill_config_revision 1`),
			ContainSubstring(`oleandersill_servers{service="payouts",state="ordinary"} 1`),
		))
	})
})

type reply struct {
	Outcome model.Outcome `json:"outcome"`
	Reason  string        `json:"reason"`
}

func accept(ctx context.Context, store *platformserver.Server, server string) {
	c := configure.Configurer{Store: store.Data(), Now: time.Now}
	result := c.Apply(ctx, configure.Change{
		Editor: "test", Reason: "test",
		Inventory: model.Inventory{
			MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "luzon", Region: "luzon"}},
			Services: []model.ServiceSpec{{Name: "payouts", Shards: []model.ShardSpec{{
				Name: "all", KeyTo: model.KeySpace,
				Servers: []model.ServerSpec{{Name: "ledger-1", Address: server, Zone: "luzon", Slots: 2, Connections: 4}},
			}}}},
		},
		Rules: model.Rules{Deadlines: model.DeadlineRule{DefaultMs: 10_000, MaxMs: 20_000}},
	})
	Expect(result.Verdict).To(Equal(configure.Accepted), result.Detail)
}

// start builds and starts the daemon and returns its process and the callers' URL. The process is ended after the spec.
func start(platform string) (*exec.Cmd, string) {
	dir := GinkgoT().TempDir()
	binary := filepath.Join(dir, "oleandersilld")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	settings := filepath.Join(dir, "settings.yaml")
	Expect(os.WriteFile(settings, fmt.Appendf(nil, `instance: entry-1
zone: luzon
region: luzon
caller_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
platform_address: %s
operator_token: token-of-the-operators
peer_token: token-of-the-peers
`, platform), 0o600)).To(Succeed())
	cmd := exec.Command(binary, "-settings", settings)
	logs, err := cmd.StderrPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(logs)
	address := regexp.MustCompile(`caller_address=(\S+)`)
	var printed strings.Builder
	for lines.Scan() {
		printed.WriteString(lines.Text() + "\n")
		if m := address.FindStringSubmatch(lines.Text()); m != nil {
			go func() { _, _ = io.Copy(io.Discard, logs) }()
			return cmd, "http://" + m[1]
		}
	}
	Fail("the daemon ended without having started: " + printed.String())
	return nil, ""
}

func execute(base, key string) reply {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/services/payouts/execute", strings.NewReader(`{"body":"12"}`))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Caller", "desk")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var r reply
	Expect(json.NewDecoder(resp.Body).Decode(&r)).To(Succeed())
	return r
}

func get(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func read(url string) string {
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}
