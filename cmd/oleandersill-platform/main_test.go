package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/testing/freeport"
	"oleandersill.example/oleandersill/internal/testing/suite"
	"oleandersill.example/oleandersill/platform/standin"
	"oleandersill.example/oleandersill/platform/wire"
)

func TestProgram(t *testing.T) { suite.Run(t, "./cmd/oleandersill-platform") }

const (
	daemons = 3
	// trafficDuration is how long callers send requests.
	trafficDuration = 6 * time.Second
	requestInterval = 10 * time.Millisecond
)

var binary string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "oleandersill-platform")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binary = filepath.Join(dir, "oleandersill-platform")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// logs collects the output of a process.
type logs struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

type process struct {
	cmd           *exec.Cmd
	settingsPath  string
	logs          *logs
	callerAddress string
	readyAddress  string
}

func freeAddress() string { return freeport.Next(freeport.PlatformProgram) }

func start(n int, zone string, endpoint *standin.Endpoint) *process {
	p := &process{logs: &logs{}, callerAddress: freeAddress(), readyAddress: freeAddress()}
	settings := fmt.Sprintf(`node_name = "daemon-%d"
ip_address = "127.0.0.1"
zone = "%s"
region = "%s"
seed_nodes = []
[zones]
z1 = "z1"
z2 = "z2"
[listen_addresses]
front = "%s"
ready = "%s"
control = "%s"
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
[platform]
address = "%s"
`, n, zone, zone, p.callerAddress, p.readyAddress, freeAddress(), endpoint.Address())
	path := filepath.Join(GinkgoT().TempDir(), "boot.toml")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	p.settingsPath = path
	p.cmd = exec.Command(binary)
	p.cmd.Env = append(os.Environ(), wire.SettingsEnvVar+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	Expect(p.cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		if p.cmd.ProcessState == nil {
			Expect(p.cmd.Process.Kill()).To(Succeed())
			_ = p.cmd.Wait()
		}
	})
	return p
}

func (p *process) readyStatus() int {
	resp, err := http.Get("http://" + p.readyAddress + wire.PathReady)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// linesOf returns what the processes have logged about a request.
func linesOf(processes []*process, id string) string {
	var lines strings.Builder
	for _, p := range processes {
		for line := range strings.Lines(p.logs.String()) {
			if strings.Contains(line, "id="+id+" ") {
				lines.WriteString(line)
			}
		}
	}
	return lines.String()
}

// request sends one request and returns the status, the headers and the body.
func (p *process) request(client *http.Client, id, method, path string) (int, http.Header, string, error) {
	req, err := http.NewRequest(method, "http://"+p.callerAddress+path, strings.NewReader(""))
	if err != nil {
		return 0, nil, "", err
	}
	req.Host = "search.example"
	req.Header.Set(wire.HeaderRequestID, id)
	req.Header.Set(wire.HeaderTimeRemaining, "1000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body), err
}

func configuration() standin.Config {
	c := standin.Config{Version: 1, Limits: standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1000, IdleTimeoutMs: 15000}}
	index := standin.Route{
		Name: "index", Host: "search.example", Prefix: "/index/", Kind: "safe", TimeoutMs: 1000, TargetLatencyMs: 300,
		MaxAttempts: 2, TopK: 3, MinimumCoverage: 0.75,
	}
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		index.FanOutServices = append(index.FanOutServices, name)
		c.Services = append(c.Services, standin.Service{Name: name, HealthPath: "/health", MaxConnections: 26})
	}
	c.Services = append(c.Services, standin.Service{Name: "w", HealthPath: "/health", MaxConnections: 26})
	c.Routes = []standin.Route{index, {
		Name: "write", Host: "search.example", Prefix: "/write/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 300,
		Priority: 2, MaxAttempts: 2, Service: "w",
	}}
	return c
}

var _ = Describe("steady traffic", func() {
	It("is served without failures by separate processes while one of them is stopped", func() {
		// Guards against failures that only separate processes show: settings, ports, messages between daemons, signals.
		store := standin.NewStore()
		store.Configure(configuration())
		servers := map[string]*standin.Server{}
		for _, s := range configuration().Services {
			for replica, zone := range map[string]string{"a": "z1", "b": "z2"} {
				server := standin.StartServer(s.Name+"-"+replica, s.Name, zone, strings.Repeat(s.Name[len(s.Name)-1:], 32))
				server.Register(store, "ready")
				servers[server.ID] = server
				DeferCleanup(server.Close)
			}
		}
		endpoint := store.OpenEndpoint()
		DeferCleanup(endpoint.Close)
		var processes []*process
		for n := range daemons {
			processes = append(processes, start(n, fmt.Sprintf("z%d", 1+n%2), endpoint))
		}
		for _, p := range processes {
			Eventually(p.readyStatus).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
		}
		Eventually(func() []string { return store.Keys(wire.PrefixDaemons) }).WithTimeout(5 * time.Second).Should(HaveLen(daemons))

		client := &http.Client{}
		stopped := time.AfterFunc(trafficDuration/4, func() { _ = processes[0].cmd.Process.Signal(syscall.SIGTERM) })
		defer stopped.Stop()
		var failures []string
		n := 0
		for end := time.Now().Add(trafficDuration); time.Now().Before(end); n++ {
			p := processes[n%daemons]
			if p == processes[0] && p.readyStatus() != http.StatusOK {
				continue
			}
			id := fmt.Sprintf("r%d", n)
			if n%4 == 3 {
				status, _, _, err := p.request(client, id, http.MethodPost, "/write/x")
				runs := servers["w-a"].Runs(id) + servers["w-b"].Runs(id)
				Expect(runs).To(BeNumerically("<=", 1))
				if err != nil || status != http.StatusOK {
					failures = append(failures, fmt.Sprintf("%s: status %d, error %v, logged: %s", id, status, err, linesOf(processes, id)))
				}
			} else {
				status, header, body, err := p.request(client, id, http.MethodGet, "/index/x")
				if missing := header.Get(wire.HeaderMissingParts); err != nil || status != http.StatusOK || missing != "0" {
					failures = append(failures, fmt.Sprintf("%s: status %d, missing %q, error %v, logged: %s", id, status, missing, err, linesOf(processes, id)))
				} else {
					Expect(body).To(Equal(strings.Repeat("3", 32) + strings.Repeat("2", 16)))
				}
			}
			time.Sleep(requestInterval)
		}
		Expect(n).To(BeNumerically(">", 100))
		Expect(failures).To(BeEmpty())
		Expect(processes[0].cmd.Wait()).To(Succeed())
		Expect(processes[0].logs.String()).To(ContainSubstring("event=stopped"))
		Expect(processes[1].logs.String()).To(MatchRegexp(`event=request_answered .*id=r\d+ `))
	})
})

var _ = It("a repeated SIGTERM interrupts no request, and SIGINT during a drain ends the process", func() {
	// Guards against a second SIGTERM that ends the process while requests are in flight.
	store := standin.NewStore()
	store.Configure(configuration())
	for _, s := range configuration().Services {
		server := standin.StartServer(s.Name+"-a", s.Name, "z1", "body")
		server.SetBehaviour(standin.Behaviour{ServiceTime: 500 * time.Millisecond})
		server.Register(store, "ready")
		DeferCleanup(server.Close)
	}
	endpoint := store.OpenEndpoint()
	DeferCleanup(endpoint.Close)
	for _, last := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		p := start(0, "z1", endpoint)
		Eventually(p.readyStatus).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
		statuses := make(chan int, 1)
		go func() {
			status, _, _, _ := p.request(&http.Client{}, "r1", http.MethodPost, "/write/x")
			statuses <- status
		}()
		time.Sleep(200 * time.Millisecond)
		Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(p.readyStatus).WithTimeout(time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(p.cmd.Process.Signal(last)).To(Succeed())
		if err := p.cmd.Wait(); last == syscall.SIGTERM {
			Expect(err).NotTo(HaveOccurred())
			Expect(<-statuses).To(Equal(http.StatusOK))
		} else {
			Expect(p.cmd.ProcessState.ExitCode()).To(Equal(3))
			Expect(<-statuses).To(BeZero())
		}
	}
})

var _ = It("the settings are read again on SIGHUP and when the file has changed", func() {
	// Guards against bounds that keep their values from the start.
	store := standin.NewStore()
	endpoint := store.OpenEndpoint()
	DeferCleanup(endpoint.Close)
	p := start(0, "z1", endpoint)
	Eventually(p.readyStatus).WithTimeout(5 * time.Second).Should(Equal(http.StatusServiceUnavailable))
	text, err := os.ReadFile(p.settingsPath)
	Expect(err).NotTo(HaveOccurred())
	Expect(p.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	Eventually(p.logs.String).WithTimeout(2 * time.Second).Should(ContainSubstring("extra_slack=56"))
	changed := strings.Replace(string(text), "slack = 56", "slack = 78", 1)
	Expect(os.WriteFile(p.settingsPath, []byte(changed), 0o600)).To(Succeed())
	Eventually(p.logs.String).WithTimeout(8 * time.Second).Should(ContainSubstring("extra_slack=78"))
	Expect(os.WriteFile(p.settingsPath, []byte("no settings"), 0o600)).To(Succeed())
	Eventually(p.logs.String).WithTimeout(8 * time.Second).Should(ContainSubstring("settings_not_reloaded"))
})

var _ = DescribeTable("a failed start exits with code 2 and one line of output",
	// Guards against an exit code or output from which the platform or an operator cannot tell that the start failed and why.
	func(args ...string) {
		cmd := exec.Command(binary, args...)
		cmd.Env = []string{}
		out, err := cmd.CombinedOutput()
		Expect(err).To(HaveOccurred())
		Expect(cmd.ProcessState.ExitCode()).To(Equal(2))
		Expect(strings.Count(strings.TrimSpace(string(out)), "\n")).To(BeZero(), string(out))
	},
	Entry("without settings"),
	Entry("with a missing file", "-settings", "/does/not/exist"),
	Entry("with an invalid port", "-metrics-port", "70000"),
)
