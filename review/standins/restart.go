package main

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"
)

func init() { plays["restart"] = playRestart }

const (
	// queryShards is the number of shards of the route, and otherServices that of further services with registered servers.
	queryShards     = 24
	otherServices   = 200
	serversPerShard = 3
	sayWork         = 2500 * time.Microsecond
	sayInterval     = 16 * time.Millisecond

	killedDaemons = 3
	outage        = 1200 * time.Millisecond
	calm          = 1200 * time.Millisecond
	restartDelay  = 2 * time.Millisecond
	quiet         = 150 * time.Millisecond
	// shedShare is the share of the requests that four of five servers refuse.
	shedShare = 0.6
	// excusedAfter is how long after a disruption on its machine the end of a process is excused.
	excusedAfter = time.Second
	// endsPerMachine and minMachines are the bounds of the rule.
	endsPerMachine = 3
	minMachines    = 2
	lastRound      = 88 * time.Second
)

// supervisor restarts a daemon whose process ended, and counts the ends without a signal that no disruption explains.
type supervisor struct {
	daemon *Daemon
	record *Record

	mu       sync.Mutex
	killedAt time.Time
	stopped  bool
	ownEnds  int
}

func (s *supervisor) run() {
	for {
		<-s.daemon.done
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		if since := time.Since(s.killedAt); since > excusedAfter && s.daemon.cmd.ProcessState.Exited() {
			s.ownEnds++
			s.record.Printf("daemon %s ended by itself, %.1f s after its last kill", s.daemon.Name, since.Seconds())
		}
		s.mu.Unlock()
		time.Sleep(restartDelay)
		s.mu.Lock()
		err := s.daemon.Start()
		s.mu.Unlock()
		if err != nil {
			s.record.Printf("daemon %s did not start: %v", s.daemon.Name, err)
			return
		}
	}
}

func (s *supervisor) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killedAt = time.Now()
	s.record.Printf("daemon %s: killed", s.daemon.Name)
	_ = s.daemon.cmd.Process.Kill()
}

func (s *supervisor) stop() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	return s.ownEnds
}

// playRestart kills three daemons at once while the store is down, lets the store return, and repeats that.
func playRestart(w *World, trouble bool) (bool, error) {
	w.Record.Quiet = true
	var services []string
	for i := range queryShards + otherServices {
		name := fmt.Sprintf("phrase-%03d", i)
		services = append(services, name)
		for k := range serversPerShard {
			s, err := w.AddServer(fmt.Sprintf("i-%03d-%d", i, k), name, "luzon-manila")
			if err != nil {
				return false, err
			}
			s.SetWork(sayWork)
			s.SetBody(strings.Repeat("0123456789abcdef", 6))
		}
	}
	w.Configure([]Route{{
		"name": "say", "host": host, "prefix": "/say/", "kind": "safe", "timeout_ms": 400, "target_latency_ms": 80, "priority": 0,
		"max_attempts": 2, "fan_out_services": services[:queryShards], "top_k": 5, "minimum_coverage": 0.75,
	}}, services...)
	manila, baguio := "luzon-manila", "luzon-baguio"
	if err := w.StartDaemons(manila, manila, manila, baguio, baguio, baguio, baguio, baguio); err != nil {
		return false, err
	}
	var supervisors []*supervisor
	for _, d := range w.Daemons {
		s := &supervisor{daemon: d, record: w.Record}
		supervisors = append(supervisors, s)
		go s.run()
	}
	stop := make(chan struct{})
	var consumers []*Consumer
	for _, d := range w.Daemons[killedDaemons:] {
		consumers = append(consumers, NewConsumer(w.Record, d))
	}
	wg := load(consumers, "GET", "/say/1", sayInterval, packLimit, stop)
	time.Sleep(5 * time.Second)
	if trouble {
		for i := range queryShards * serversPerShard {
			if i%5 > 0 {
				w.Servers[fmt.Sprintf("i-%03d-%d", i/serversPerShard, i%serversPerShard)].SetShed(shedShare)
			}
		}
	}
	begun, rounds := time.Now(), 0
	for ; time.Since(begun) < lastRound; rounds++ {
		pause.Store(true)
		time.Sleep(quiet)
		w.Store.SetDown(trouble)
		for _, s := range supervisors[:killedDaemons] {
			if trouble {
				s.kill()
			}
		}
		time.Sleep(quiet)
		pause.Store(false)
		time.Sleep(outage)
		w.Store.SetDown(false)
		time.Sleep(calm)
	}
	close(stop)
	wg.Wait()
	machines := 0
	for _, s := range supervisors {
		ends := s.stop()
		if ends >= endsPerMachine {
			machines++
		}
		w.Record.Printf("daemon %s ended by itself %d times in %d rounds", s.daemon.Name, ends, rounds)
	}
	w.logPanic()
	w.Record.Printf("%d machines on which processes ended by themselves %d times or more", machines, endsPerMachine)
	return machines >= minMachines, nil
}

// sourceDir matches the directory of a source file in a stack trace.
var sourceDir = regexp.MustCompile(`\t/\S*/`)

// logPanic copies the first panic of a daemon to the record.
func (w *World) logPanic() {
	for _, d := range w.Daemons {
		raw, err := os.ReadFile(d.logPath)
		if err != nil {
			continue
		}
		if i := bytes.Index(raw, []byte("panic:")); i >= 0 {
			trace := sourceDir.ReplaceAll(raw[i:min(len(raw), i+1800)], []byte("\t"))
			w.Record.Printf("log of %s:\n%s", d.Name, trace)
			return
		}
	}
}
