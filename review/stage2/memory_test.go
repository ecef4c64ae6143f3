package stage2_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
	// The rule counts a fault if processes end three times on each of two machines.
	endsPerMachine = 3
	brokenMachines = 2
	// crowdedReceivers are the daemons that get a crowd each.
	crowdedReceivers = 2
	// crowdCallers are the connections of a crowd at a time. Each sends a complete body, and closes leaveAfter later.
	crowdCallers = 100
	crowdTime    = 15 * time.Second
	leaveAfter   = 20 * time.Millisecond
	maxBody      = 262144
	// waitingReceivers are the daemons to which crowds of waitingCallersEach callers send for waitingTime, with a pause between them.
	waitingReceivers   = 8
	waitingCallersEach = 30
	waitingTime        = 65 * time.Second
	crowdPause         = 2 * time.Second
	// waitingRoutes are the routes over which they go, each with servers in a zone of its own.
	waitingRoutes = 2
	// loweredMemoryMB is memory_mb as the project's own tests with small crowds set it (platform/misuse).
	loweredMemoryMB  = 64
	answerTimeout    = 6 * time.Second
	ordinaryInterval = 200 * time.Millisecond
	memoryInterval   = 5 * time.Millisecond
)

// leavingCallers starts two daemons in a zone without servers, and one in the zone of all servers. A crowd sends complete bodies of legal size
// to each of the two and leaves without waiting for the answers.
func leavingCallers(f *fleet, trouble bool) (bool, error) {
	return f.watchMemory(crowdedReceivers, []string{"huron-north"}, trouble, f.crowdsThatLeave)
}

// waitingCallers starts eight daemons in a zone without servers, and one in each of two zones with the shards of a route. Crowds send
// complete bodies of legal size to the eight, over one route to each, and wait for the answers.
func waitingCallers(f *fleet, trouble bool) (bool, error) {
	f.memoryMB = loweredMemoryMB
	return f.watchMemory(waitingReceivers, []string{"huron-north", "huron-east"}, trouble, f.crowdsThatWait)
}

// watchMemory starts daemons that receive callers, one in each of the zones of servers, and ordinary callers. It lets send run beside them if
// there is trouble, and reports whether processes exceeded their memory as often as the rule says.
func (f *fleet) watchMemory(receiverCount int, serverZones []string, trouble bool, send func(receivers []*daemon)) (bool, error) {
	servers, config := f.shards(serverZones)
	for _, s := range servers {
		defer s.Close()
	}
	f.store.Configure(config)
	zones := append(slices.Repeat([]string{"huron-south"}, receiverCount), serverZones...)
	for _, zone := range zones {
		if _, err := f.add(zone, "huron"); err != nil {
			return false, err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	guards := make([]*guard, len(f.daemons))
	for i, d := range f.daemons {
		guards[i] = &guard{daemon: d}
		wg.Go(func() { guards[i].run(stop) })
	}
	wg.Go(func() { f.ordinarySweeps(f.daemons[0], stop) })
	time.Sleep(3 * time.Second)
	f.recordMemory("before the crowd", guards)
	if trouble {
		send(f.daemons[:receiverCount])
	}
	time.Sleep(5 * time.Second)
	f.recordMemory("at the end", guards)
	close(stop)
	wg.Wait()
	broken := 0
	for _, g := range guards {
		f.rec.line("%s exceeded memory_mb %d times", g.daemon.name, g.kills.Load())
		if g.kills.Load() >= endsPerMachine {
			broken++
		}
	}
	f.rec.line("%d machines on which processes ended %d times or more", broken, endsPerMachine)
	return broken >= brokenMachines, nil
}

// guard does what the platform does on one machine: it kills the process once its resident memory exceeds memory_mb, and starts it again.
type guard struct {
	daemon *daemon
	kills  atomic.Int64
	// peak is the highest resident memory of the present process in bytes.
	peak atomic.Int64
}

func (g *guard) run(stop <-chan struct{}) {
	d, f := g.daemon, g.daemon.fleet
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		g.peak.Store(d.peakResident())
		if g.peak.Load() <= int64(f.memoryMB)<<20 {
			continue
		}
		f.rec.line("KILLED %s: its resident memory is %.1f MiB of %d", d.name, float64(g.peak.Load())/(1<<20), f.memoryMB)
		d.kill()
		g.kills.Add(1)
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			f.rec.line("could not start %s: %v", d.name, err)
			return
		}
	}
}

// recordMemory records the highest resident memory of each daemon.
func (f *fleet) recordMemory(when string, guards []*guard) {
	for _, g := range guards {
		f.rec.line("%s: highest resident memory of %s: %.1f MiB of %d", when, g.daemon.name, float64(g.peak.Load())/(1<<20), f.memoryMB)
	}
}

// shards starts two servers of each shard, and returns them with the configuration. Each zone has the shards of a route of its own.
func (f *fleet) shards(zones []string) ([]*standin.Server, standin.Config) {
	var servers []*standin.Server
	c := standin.Config{
		Version: 1, Limits: standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBody, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for i, zone := range zones {
		r := standin.Route{
			Name: fmt.Sprintf("manifest-sweep-%d", i), Host: host, Prefix: sweepPath(i), Kind: "safe", TimeoutMs: 4000, TargetLatencyMs: 300,
			Priority: 1, MaxAttempts: 2, TopK: 50, MinimumCoverage: 0.95,
		}
		for shard := range shardCount {
			service := fmt.Sprintf("depot-desk-%d-%d", i, shard)
			r.FanOutServices = append(r.FanOutServices, service)
			c.Services = append(c.Services, standin.Service{Name: service, HealthPath: "/health", MaxConnections: 63})
			for replica := range 2 {
				id := fmt.Sprintf("i-%d-%d-%d", i, shard, replica)
				s := standin.StartServer(id, service, zone, strings.Repeat("0123456789abcdef", 62))
				s.SetBehaviour(standin.Behaviour{ServiceTime: sweepWork, Slots: 2, QueueLimit: 12})
				s.Register(f.store, "ready")
				servers = append(servers, s)
			}
		}
		c.Routes = append(c.Routes, r)
	}
	return servers, c
}

// sweepPath returns the prefix of the paths of a route.
func sweepPath(route int) string { return fmt.Sprintf("/sweep-%d/", route) }

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
		f.rec.line("%s: answered %d", id, get(d.callers(), sweepPath(0), h, 4*time.Second))
	}
}

// crowdsThatLeave sends complete bodies of legal size on many connections at once to each daemon.
func (f *fleet) crowdsThatLeave(receivers []*daemon) {
	f.rec.line("%d callers at a time send one complete body of %d bytes each to each of %d daemons, and leave after %v",
		crowdCallers, maxBody, len(receivers), leaveAfter)
	body := strings.Repeat("a", maxBody)
	end := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	var sent atomic.Int64
	for i, d := range receivers {
		for j := range crowdCallers {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					if d.sendAndLeave(fmt.Sprintf("crowd-%d-%d-%d", i, j, n), body) {
						sent.Add(1)
					}
				}
			})
		}
	}
	wg.Wait()
	f.rec.line("the crowds have sent %d requests", sent.Load())
}

// crowdsThatWait sends complete bodies of legal size on many connections at once to each daemon, several times, and awaits the answers.
func (f *fleet) crowdsThatWait(receivers []*daemon) {
	body := strings.Repeat("a", maxBody)
	end := time.Now().Add(waitingTime)
	for i := 0; time.Now().Before(end); i++ {
		f.rec.line("%d callers send one complete body of %d bytes each to each of %d daemons, and wait", waitingCallersEach, maxBody, len(receivers))
		var wg sync.WaitGroup
		var statuses [6]atomic.Int64
		for j, d := range receivers {
			path := sweepPath(j % waitingRoutes)
			for k := range waitingCallersEach {
				id := fmt.Sprintf("crowd-%d-%d-%d", i, j, k)
				wg.Go(func() { statuses[d.sendAndWait(path, id, body)/100].Add(1) })
			}
		}
		wg.Wait()
		f.rec.line("%d answered 2xx, %d 4xx, %d 5xx, %d not answered", statuses[2].Load(), statuses[4].Load(), statuses[5].Load(), statuses[0].Load())
		time.Sleep(crowdPause)
	}
}

// sendAndWait sends one request on a new connection and returns the status of its answer, or 0 without one.
func (d *daemon) sendAndWait(path, id, body string) int {
	c, err := d.send(path, id, body)
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
	c, err := d.send(sweepPath(0), id, body)
	time.Sleep(leaveAfter)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// send sends one request on a new connection, and returns the connection.
func (d *daemon) send(path, id, body string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", d.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Time-Remaining: 4000\r\nContent-Length: %d\r\n\r\n",
		path, host, id, len(body))
	if _, err = io.WriteString(c, head+body); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}
