package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["stopped"] = playStopped }

const (
	// The requests payout-fetch of quetzal-sill at three servers of three slots each.
	stopServers = 3
	// stopInterval is the time between the requests to one of the four daemons: 133 a second in all. The servers run 100 a second.
	stopInterval = 30 * time.Millisecond
	// gracePeriod and lossSlack are grace_s and loss_slack_ms of the settings.
	gracePeriod = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	// afterGrace is how long after the grace period the rule still holds.
	afterGrace = time.Second
	// warmUp is how long the load lasts before the first stop, and stopEvery is the time from one stop to the next.
	warmUp    = 14 * time.Second
	stopEvery = 14 * time.Second
	stops     = 3
)

// balancer is the platform's entry: it sends no new connections to a daemon after two misses of its readiness.
type balancer struct {
	daemons  []*Daemon
	rotation []atomic.Bool
}

func newBalancer(daemons []*Daemon) *balancer {
	b := &balancer{daemons: daemons, rotation: make([]atomic.Bool, len(daemons))}
	for i := range daemons {
		b.rotation[i].Store(true)
	}
	return b
}

// run queries the readiness of each daemon once a second until stop is closed.
func (b *balancer) run(stop <-chan struct{}) {
	misses := make([]int, len(b.daemons))
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for i, d := range b.daemons {
			if d.Ready() {
				misses[i] = 0
			} else {
				misses[i]++
			}
			b.rotation[i].Store(misses[i] < 2)
		}
	}
}

// playStopped stops one daemon after the other with SIGTERM while requests wait in the daemons for servers.
func playStopped(w *World, trouble bool) (bool, error) {
	w.MaxConnections = ledgerConnections
	for n := range stopServers {
		s, err := w.AddServer(fmt.Sprintf("i-%d", n), "ledger-keeper", []string{"luzon-manila", "luzon-baguio"}[n%2])
		if err != nil {
			return false, err
		}
		s.SetSlots(ledgerSlots, ledgerQueue)
		s.SetWork(payoutWork)
		s.Register()
	}
	w.Configure([]Route{{
		"name": "payout", "host": host, "prefix": "/payout/", "kind": "unsafe", "timeout_ms": payoutLimit.Milliseconds(),
		"target_latency_ms": 800, "priority": 2, "max_attempts": 2, "service": "ledger-keeper",
	}}, "ledger-keeper")
	if err := w.StartDaemons("luzon-manila", "luzon-manila", "luzon-baguio", "luzon-baguio"); err != nil {
		return false, err
	}
	var consumers []*Consumer
	for _, d := range w.Daemons {
		c := NewConsumer(w.Record, d)
		c.CheckIdle = true
		consumers = append(consumers, c)
	}
	stop := make(chan struct{})
	b := newBalancer(w.Daemons)
	go b.run(stop)
	wg := steadyLoad(consumers, b, stop)
	time.Sleep(warmUp)
	stoppedAt := map[*Daemon]time.Time{}
	for i := range stops {
		began := time.Now()
		if trouble {
			stoppedAt[w.Daemons[i]] = began
			if err := w.Daemons[i].Restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(stopEvery)))
	}
	close(stop)
	wg.Wait()
	return judgeStopped(w, consumers, stoppedAt), nil
}

// Restart sends SIGTERM, SIGKILL after the grace period, and starts the process again once it has ended.
func (d *Daemon) Restart() error {
	d.record.Printf("daemon %s: SIGTERM", d.Name)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-d.done:
	case <-time.After(gracePeriod):
		d.record.Printf("daemon %s: SIGKILL", d.Name)
		d.Kill()
	}
	return d.Start()
}

// steadyLoad sends requests at the same rate all the time. The share of a daemon that is out of rotation goes to the others,
// but for its kept connections.
func steadyLoad(consumers []*Consumer, b *balancer, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range consumers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(stopInterval * time.Duration(i) / time.Duration(len(consumers)))
			t := time.NewTicker(stopInterval)
			defer t.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				c := consumers[i]
				for k := 1; !b.rotation[(i+k-1)%len(consumers)].Load() && !c.HasIdle() && k < len(consumers); k++ {
					c = consumers[(i+k)%len(consumers)]
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					c.Send("POST", host, "/payout/1", fmt.Sprintf("payout %d", n), payoutLimit)
				}()
			}
		}()
	}
	return &wg
}

// judgeStopped reports whether a stopping daemon ended a connection without answering the request on it, which it had passed on
// to no server, before the time limit of the request.
func judgeStopped(w *World, consumers []*Consumer, stoppedAt map[*Daemon]time.Time) bool {
	reached := map[string]bool{}
	for _, s := range w.Servers {
		for _, a := range s.Arrivals() {
			reached[a.ID] = true
		}
	}
	count := map[int]int{}
	cut, atServer := 0, 0
	for _, c := range consumers {
		stopped, wasStopped := stoppedAt[c.daemon]
		for _, a := range c.Answers() {
			count[a.Status]++
			if a.Status != 0 || !wasStopped {
				continue
			}
			waited := a.Ended.Sub(a.Sent)
			inStop := a.Ended.After(stopped) && a.Ended.Before(stopped.Add(gracePeriod+afterGrace))
			if !inStop || a.FullySent.IsZero() || a.Ended.Sub(a.FullySent) <= lossSlack || waited >= payoutLimit {
				continue
			}
			if reached[a.ID] {
				atServer++
				continue
			}
			cut++
			w.Record.Printf("cut: %s was sent to %s %.3f s after SIGTERM, its connection ended %.3f s later without an answer; no server got it: %s",
				a.ID, a.Daemon, a.Sent.Sub(stopped).Seconds(), waited.Seconds(), a.Err)
		}
	}
	w.Record.Printf("answers by status (0: none): %v", count)
	w.Record.Printf("%d requests were read, passed on to no server and cut without an answer; %d more cut that had reached a server are not judged", cut, atServer)
	return cut > 0
}
