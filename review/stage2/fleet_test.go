package stage2_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandersill.example/oleandersill/platform/standin"
)

const (
	program     = "target/oleandersill-platform"
	metricsPort = 9180
	callerPort  = 8369
	readyPort   = 8368
	peerPort    = 8361
	host        = "pucu74.example"
	startWithin = 15 * time.Second
)

// usualZones are zones in the form of the settings.
const usualZones = `huron-north = "huron"
huron-south = "huron"
huron-east = "huron"
erie-west = "erie"`

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment: daemons as separate processes, a store and backend servers.
type fleet struct {
	rec      *record
	dir      string
	subnet   string
	store    *standin.Store
	endpoint *standin.Endpoint
	daemons  []*daemon
	// extraBounds and memoryMB go into the settings of the daemons that are started after they were set.
	extraBounds string
	memoryMB    int
	// zones are the zones of the settings.
	zones string
	// network, if not nil, carries what the daemons that are added send each other and the store.
	network *network
}

// newFleet returns a fleet without daemons. Each daemon gets a loopback address of its own.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "oleandersill-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: standin.NewStore(), memoryMB: 184, zones: usualZones}
	f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for _, port := range []int{metricsPort, callerPort, readyPort, peerPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.subnet, port))
		if err != nil {
			return nil, err
		}
		_ = l.Close()
	}
	f.endpoint = f.store.OpenEndpoint()
	return f, nil
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	f.endpoint.Close()
	_ = os.RemoveAll(f.dir)
}

// daemon is one process of the platform's program.
type daemon struct {
	fleet  *fleet
	name   string
	ip     string
	zone   string
	region string
	// storeAddress is the address at which it reaches the store.
	storeAddress string
	cmd          *exec.Cmd
	exited       chan struct{}
}

func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", d.ip, callerPort) }
func (d *daemon) ready() string   { return fmt.Sprintf("%s:%d", d.ip, readyPort) }

// add starts a daemon of a zone and returns it.
func (f *fleet) add(zone, region string) (*daemon, error) {
	n := len(f.daemons) + 1
	d := &daemon{
		fleet: f, name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", f.subnet, 10+n), zone: zone, region: region,
		storeAddress: f.endpoint.Address(),
	}
	f.daemons = append(f.daemons, d)
	if f.network != nil {
		if err := f.network.attach(d); err != nil {
			return nil, err
		}
	}
	return d, d.start()
}

// settings returns the settings file as the platform writes it.
func (d *daemon) settings() string {
	seeds := []string{fmt.Sprintf("%s.11:%d", d.fleet.subnet, peerPort)}
	if d.fleet.network != nil {
		seeds = d.fleet.proxies()
	}
	return fmt.Sprintf(`node_name = %q
role = "query-tier"
machine_class = "front"
serves = ["front","control"]
ip_address = %q
zone = %q
region = %q
internal_port_range = [7360,7375]
seed_nodes = ["%s"]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
[zones]
%s
[listen_addresses]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu_share = 0.192
cores = 1
memory_mb = %d
fd_limit = 4100
[bounds]
drain_ms = 5000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 204
%s
[platform]
address = %q
form = "kv"
`, d.name, d.ip, d.zone, d.region, strings.Join(seeds, `","`), d.fleet.zones, d.ip, callerPort, d.ip, readyPort, d.ip, peerPort, d.fleet.memoryMB,
		d.fleet.extraBounds, d.storeAddress)
}

// proxies returns the addresses of the proxies before the daemons' ports for peers.
func (f *fleet) proxies() []string {
	var out []string
	for _, d := range f.daemons {
		out = append(out, d.proxy())
	}
	return out
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	path := filepath.Join(d.fleet.dir, d.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.fleet.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.cmd = exec.Command(program, "-metrics-port", strconv.Itoa(metricsPort))
	d.cmd.Env = []string{"OLEANDERSILL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	d.fleet.rec.line("started %s (process %d)", d.name, d.cmd.Process.Pid)
	return nil
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.exited
}

// awaitReady waits until the daemon answers its readiness probe with 200.
func (d *daemon) awaitReady() error {
	for end := time.Now().Add(startWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if get(d.ready(), "/readiness", nil, time.Second) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", d.name)
}

// peakResident returns the highest resident memory of the process in bytes, or 0 if it has ended.
func (d *daemon) peakResident() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	var kilobytes int64
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}

// get sends a request on a new connection and returns its status, or 0 without an answer.
func get(address, path string, header http.Header, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	req.Host, req.Close = host, true
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
