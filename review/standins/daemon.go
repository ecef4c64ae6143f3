package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// daemonProgram and daemonArgs are the run line of deploy/system.toml.
const daemonProgram = "target/oleandersill-platform"

var daemonArgs = []string{"-metrics-port", "9180"}

// Daemon is one process of the system. Each has a loopback address of its own, so that all can use the same ports.
type Daemon struct {
	Name, Zone, IP string

	record   *Record
	settings string
	logPath  string
	cmd      *exec.Cmd
	done     chan struct{}
}

// Ports of the daemons.
const (
	frontPort   = 8104
	controlPort = 8106
	readyPort   = 8108
)

// freeIPs returns n loopback addresses on which the daemons' ports are free.
func freeIPs(n int) ([]string, error) {
	var out []string
	for try := 0; try < 200 && len(out) < n; try++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(240))
		if portsFree(ip) {
			out = append(out, ip)
		}
	}
	if len(out) < n {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	return out, nil
}

func portsFree(ip string) bool {
	for _, port := range []int{frontPort, controlPort, readyPort, 9180} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// NewDaemon writes the settings of a daemon.
func NewDaemon(record *Record, dir, name, zone, ip, store string, seeds []string) (*Daemon, error) {
	var seedList bytes.Buffer
	for i, s := range seeds {
		if i > 0 {
			seedList.WriteString(",")
		}
		fmt.Fprintf(&seedList, "%q", fmt.Sprintf("%s:%d", s, controlPort))
	}
	text := fmt.Sprintf(`node_name = %q
role = "query-tier"
machine_class = "front"
serves = ["front","control"]
ip_address = %q
zone = %q
region = "luzon"
internal_port_range = [7380,7395]
seed_nodes = [%s]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
luzon-manila = "luzon"
luzon-baguio = "luzon"
[listen_addresses]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
fd_limit = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stable_window_ms = 4000
acknowledge_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
recovery_s = 12
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, name, ip, zone, seedList.String(), ip, frontPort, ip, readyPort, ip, controlPort, store)
	d := &Daemon{
		Name: name, Zone: zone, IP: ip, record: record,
		settings: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
	}
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// Front returns the address for consumers.
func (d *Daemon) Front() string { return fmt.Sprintf("%s:%d", d.IP, frontPort) }

// Start starts the process.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonProgram, daemonArgs...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERSILL_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	d.record.Printf("daemon %s: started, process %d", d.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.record.Printf("daemon %s: process %d ended: %v", d.Name, cmd.Process.Pid, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Kill ends the process and waits for its end.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.done
}

// Running reports whether the process runs.
func (d *Daemon) Running() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// Ready queries the daemon's readiness.
func (d *Daemon) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", d.IP, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}
