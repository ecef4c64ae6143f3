package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	crowdCallers     = 100
	crowdTime        = 4 * time.Second
	leaveAfter       = 20 * time.Millisecond
	maxBody          = 262144
	ordinaryInterval = 200 * time.Millisecond
	memoryInterval   = 5 * time.Millisecond
)

// peerMemory starts two daemons in two zones, and all servers in the zone of the second one. A crowd sends complete bodies of legal size
// to the first one and leaves without waiting for the answers.
func peerMemory(f *fleet, trouble bool) (bool, error) {
	servers, config := f.shards("huron-north")
	for _, s := range servers {
		defer s.Close()
	}
	f.store.Configure(config)
	first, err := f.add("huron-south", "huron")
	if err != nil {
		return false, err
	}
	second, err := f.add("huron-north", "huron")
	if err != nil {
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
	for _, d := range []*daemon{first, second} {
		wg.Go(func() { f.killBeyondLimit(d, stop, &ended) })
	}
	wg.Go(func() { f.ordinarySweeps(first, stop) })
	time.Sleep(3 * time.Second)
	f.recordMemory("before the crowd")
	if trouble {
		f.sweepCrowd(first)
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

// sweepCrowd sends complete bodies of legal size on many connections at once.
func (f *fleet) sweepCrowd(d *daemon) {
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

// sendAndLeave sends one request on a new connection and closes it without waiting for the answer. It reports whether all was sent.
func (d *daemon) sendAndLeave(id, body string) bool {
	c, err := net.DialTimeout("tcp", d.callers(), time.Second) //nolint:noctx,gosec // a loopback address, with a timeout
	if err != nil {
		time.Sleep(leaveAfter)
		return false
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("POST /sweep/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Time-Remaining: 4000\r\nContent-Length: %d\r\n\r\n",
		host, id, len(body))
	_, err = io.WriteString(c, head+body)
	time.Sleep(leaveAfter)
	return err == nil
}
