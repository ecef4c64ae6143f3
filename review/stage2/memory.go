package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/platform/standin"
)

const (
	shardCount = 20
	// sweepWork is the mean work of the harrowgate site's manifest-sweep.
	sweepWork = 28 * time.Millisecond
	// crowdCallers are the connections of the crowd at a time. Each sends a complete body, and closes leaveAfter later.
	crowdCallers = 100
	crowdTime    = 4 * time.Second
	leaveAfter   = 20 * time.Millisecond
	maxBody      = 262144
	// steadyReceivers are the daemons that callers send to at steadyRate requests per second each, for steadyTime.
	steadyReceivers = 4
	steadyRate      = 60
	steadyTime      = 8 * time.Second
	// headerFields is the number of short header fields of each of their requests.
	headerFields     = 1000
	answerTimeout    = 6 * time.Second
	ordinaryInterval = 200 * time.Millisecond
	memoryInterval   = 5 * time.Millisecond
)

// leavingCallers starts two daemons in two zones, and all servers in the zone of the second one. A crowd sends complete bodies of legal size
// to the first one and leaves without waiting for the answers.
func leavingCallers(f *fleet, trouble bool) (bool, error) {
	return f.watchMemory(1, trouble, func(receivers []*daemon) { f.crowdThatLeaves(receivers[0]) })
}

// waitingCallers starts four daemons in a zone without servers, and one in the zone of all servers. Callers send requests of
// legal size with very many short header fields to the four at a steady rate, and wait for the answers.
func waitingCallers(f *fleet, trouble bool) (bool, error) {
	return f.watchMemory(steadyReceivers, trouble, f.steadyCallers)
}

// watchMemory starts daemons that receive callers, one in the zone of the servers, and ordinary callers. It lets send run beside them if
// there is trouble, and reports whether a process exceeded its memory.
func (f *fleet) watchMemory(receiverCount int, trouble bool, send func(receivers []*daemon)) (bool, error) {
	servers, config := f.shards("huron-north")
	for _, s := range servers {
		defer s.Close()
	}
	f.store.Configure(config)
	for range receiverCount {
		if _, err := f.add("huron-south", "huron"); err != nil {
			return false, err
		}
	}
	if _, err := f.add("huron-north", "huron"); err != nil {
		return false, err
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var ended atomic.Int64
	for _, d := range f.daemons {
		wg.Go(func() { f.killBeyondLimit(d, stop, &ended) })
	}
	wg.Go(func() { f.ordinarySweeps(f.daemons[0], stop) })
	time.Sleep(3 * time.Second)
	f.recordMemory("before the crowd")
	if trouble {
		send(f.daemons[:receiverCount])
	}
	time.Sleep(5 * time.Second)
	f.recordMemory("at the end")
	close(stop)
	wg.Wait()
	f.rec.line("processes that exceeded memory_mb: %d", ended.Load())
	return ended.Load() > 0, nil
}

// killBeyondLimit does what the platform does: it kills the process once its resident memory exceeds memory_mb.
func (f *fleet) killBeyondLimit(d *daemon, stop <-chan struct{}, ended *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		if peak := d.peakResident(); peak > int64(f.memoryMB)<<20 {
			f.rec.line("KILLED %s: its resident memory is %.1f MiB of %d", d.name, float64(peak)/(1<<20), f.memoryMB)
			d.kill()
			ended.Add(1)
			return
		}
	}
}

// recordMemory records the highest resident memory of each daemon; 0 if it has ended.
func (f *fleet) recordMemory(when string) {
	for _, d := range f.daemons {
		f.rec.line("%s: highest resident memory of %s: %.1f MiB of %d", when, d.name, float64(d.peakResident())/(1<<20), f.memoryMB)
	}
}

// shards starts two servers of each shard in the zone, and returns them with the configuration.
func (f *fleet) shards(zone string) ([]*standin.Server, standin.Config) {
	var servers []*standin.Server
	c := standin.Config{
		Version: 1, Limits: standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBody, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	r := standin.Route{
		Name: "manifest-sweep", Host: host, Prefix: "/sweep/", Kind: "safe", TimeoutMs: 4000, TargetLatencyMs: 300, Priority: 1,
		MaxAttempts: 2, TopK: 50, MinimumCoverage: 0.95,
	}
	for i := range shardCount {
		service := fmt.Sprintf("depot-desk-%d", i)
		r.FanOutServices = append(r.FanOutServices, service)
		c.Services = append(c.Services, standin.Service{Name: service, HealthPath: "/health", MaxConnections: 63})
		for replica := range 2 {
			s := standin.StartServer(fmt.Sprintf("i-%d-%d", i, replica), service, zone, strings.Repeat("0123456789abcdef", 62))
			s.SetBehaviour(standin.Behaviour{ServiceTime: sweepWork, Slots: 2, QueueLimit: 12})
			s.Register(f.store, "ready")
			servers = append(servers, s)
		}
	}
	c.Routes = []standin.Route{r}
	return servers, c
}

// ordinarySweeps sends requests without a body.
func (f *fleet) ordinarySweeps(d *daemon, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(ordinaryInterval):
		}
		id := fmt.Sprintf("ordinary-%d", n)
		h := http.Header{"X-Request-Id": {id}, "X-Time-Remaining": {"4000"}}
		f.rec.line("%s: answered %d", id, get(d.callers(), "/sweep/x", h, 4*time.Second))
	}
}

// crowdThatLeaves sends complete bodies of legal size on many connections at once.
func (f *fleet) crowdThatLeaves(d *daemon) {
	f.rec.line("%d callers at a time send one complete body of %d bytes each, and leave after %v", crowdCallers, maxBody, leaveAfter)
	body := strings.Repeat("a", maxBody)
	end := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	var sent atomic.Int64
	for i := range crowdCallers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if d.sendAndLeave(fmt.Sprintf("crowd-%d-%d", i, n), body) {
					sent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	f.rec.line("the crowd has sent %d requests", sent.Load())
}

// steadyCallers sends requests with very many short header fields to each daemon at a steady rate, each on a connection of its own, and
// awaits the answers.
func (f *fleet) steadyCallers(receivers []*daemon) {
	fields := shortFields(headerFields)
	f.rec.line("callers send requests with %d header fields, %d bytes together, to %d daemons, %d a second to each, for %v",
		headerFields, len(fields), len(receivers), steadyRate, steadyTime)
	end := time.Now().Add(steadyTime)
	var wg sync.WaitGroup
	var statuses [6]atomic.Int64
	for i, d := range receivers {
		wg.Go(func() {
			pace := time.NewTicker(time.Second / steadyRate)
			defer pace.Stop()
			for n := 0; time.Now().Before(end); n++ {
				<-pace.C
				wg.Go(func() { statuses[d.sendAndWait(fmt.Sprintf("steady-%d-%d", i, n), fields)/100].Add(1) })
			}
		})
	}
	wg.Wait()
	f.rec.line("%d answered 2xx, %d 4xx, %d 5xx, %d not answered", statuses[2].Load(), statuses[4].Load(), statuses[5].Load(), statuses[0].Load())
}

// sendAndWait sends one request on a new connection and returns the status of its answer, or 0 without one.
func (d *daemon) sendAndWait(id, fields string) int {
	c, err := d.send(http.MethodGet, id, fields, "")
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// sendAndLeave sends one request on a new connection and closes it without waiting for the answer. It reports whether all was sent.
func (d *daemon) sendAndLeave(id, body string) bool {
	c, err := d.send(http.MethodPost, id, "", body)
	time.Sleep(leaveAfter)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// send sends one request on a new connection, and returns the connection. fields are further header fields.
func (d *daemon) send(method, id, fields, body string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", d.callers(), time.Second) //nolint:noctx // a loopback address, with a timeout
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("%s /sweep/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Time-Remaining: 4000\r\nContent-Length: %d\r\n%s\r\n",
		method, host, id, len(body), fields)
	if _, err = io.WriteString(c, head+body); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// shortFields returns header fields with different names of four letters and digits, and values of one digit.
func shortFields(n int) string {
	var out strings.Builder
	for i := range n {
		out.WriteString("A" + strconv.FormatInt(int64(36*36+i), 36) + ":1\r\n")
	}
	return out.String()
}
