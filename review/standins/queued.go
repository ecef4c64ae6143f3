package main

import (
	"fmt"
	"time"
)

func init() { plays["queued"] = playQueued }

// The service ledger-keeper and the requests payout-fetch of quetzal-sill.
const (
	ledgerServers     = 5
	ledgerSlots       = 3
	ledgerQueue       = 12
	ledgerConnections = 40
	payoutWork        = 90 * time.Millisecond
	payoutLimit       = 6 * time.Second
	// payoutInterval is the time between the requests to one of the eight daemons: 24.8 a second in all.
	payoutInterval = 322 * time.Millisecond

	// slowFactor and slowFor are the dose of srv_slow.
	slowFactor = 12
	slowFor    = 8 * time.Second
	// leaveAfter is how long after the servers turned slow an entry is removed, and servesOn how long its server then serves.
	leaveAfter = 5 * time.Second
	servesOn   = 4200 * time.Millisecond
	roundLasts = 16 * time.Second
	rounds     = 3
)

// playQueued removes the entries of servers that never report draining, one a round, while all servers of the service are slow.
func playQueued(w *World, trouble bool) (bool, error) {
	w.MaxConnections = ledgerConnections
	var live []*Server
	add := func(n int) error {
		s, err := w.AddServer(fmt.Sprintf("i-%d", n), "ledger-keeper", []string{"luzon-manila", "luzon-baguio"}[n%2])
		if err != nil {
			return err
		}
		s.SetSlots(ledgerSlots, ledgerQueue)
		s.SetWork(payoutWork)
		s.Register()
		live = append(live, s)
		return nil
	}
	for n := range ledgerServers {
		if err := add(n); err != nil {
			return false, err
		}
	}
	w.Configure([]Route{{
		"name": "payout", "host": host, "prefix": "/payout/", "kind": "unsafe", "timeout_ms": payoutLimit.Milliseconds(),
		"target_latency_ms": 800, "priority": 2, "max_attempts": 2, "service": "ledger-keeper",
	}}, "ledger-keeper")
	manila, baguio := "luzon-manila", "luzon-baguio"
	if err := w.StartDaemons(manila, manila, manila, manila, baguio, baguio, baguio, baguio); err != nil {
		return false, err
	}
	var consumers []*Consumer
	for _, d := range w.Daemons {
		consumers = append(consumers, NewConsumer(w.Record, d))
	}
	stop := make(chan struct{})
	wg := load(consumers, "POST", "/payout/1", payoutInterval, payoutLimit, stop)
	time.Sleep(5 * time.Second)

	goneAt := map[*Server]time.Time{}
	for round := range rounds {
		began := time.Now()
		setWork := func(work time.Duration) {
			for _, s := range live {
				s.SetWork(work)
			}
		}
		if trouble {
			setWork(slowFactor * payoutWork)
			w.Record.Printf("servers: all turn slow, %d times the usual work", slowFactor)
		}
		time.Sleep(leaveAfter)
		leaver := live[0]
		w.Store.Delete("servers/" + leaver.ID)
		goneAt[leaver] = time.Now()
		w.Record.Printf("server %s: its entry is removed, it serves on for a while", leaver.ID)
		time.Sleep(slowFor - leaveAfter)
		setWork(payoutWork)
		w.Record.Printf("servers: as fast as usual again")
		time.Sleep(time.Until(goneAt[leaver].Add(servesOn)))
		leaver.Stop()
		w.Record.Printf("server %s: ended", leaver.ID)
		live = live[1:]
		if err := add(ledgerServers + round); err != nil {
			return false, err
		}
		time.Sleep(time.Until(began.Add(roundLasts)))
	}
	close(stop)
	wg.Wait()
	return judgeQueued(w, consumers, goneAt), nil
}

// judgeQueued reports whether a request reached a server later than drainPeriod after its entry was removed.
func judgeQueued(w *World, consumers []*Consumer, goneAt map[*Server]time.Time) bool {
	answers := map[string]Answer{}
	served := 0
	for _, c := range consumers {
		for _, a := range c.Answers() {
			answers[a.ID] = a
			if a.Status == 200 {
				served++
			}
		}
	}
	late, lost := 0, 0
	for s, gone := range goneAt {
		for _, arrival := range s.Arrivals() {
			after := arrival.At.Sub(gone)
			if arrival.Status == 421 || after <= drainPeriod {
				continue
			}
			late++
			a := answers[arrival.ID]
			if arrival.Status == 200 && a.Status != 200 {
				lost++
			}
			w.Record.Printf("late: %s reached %s %.3f s after its entry was gone, %.3f s after it was sent, by way of %s; answer %d",
				arrival.ID, s.ID, after.Seconds(), arrival.At.Sub(a.Sent).Seconds(), a.Daemon, a.Status)
		}
	}
	w.Record.Printf("%d requests reached a server later than drain_ms after its entry was gone, %d of them ran without an answer", late, lost)
	w.Record.Printf("%d of %d requests served", served, len(answers))
	return late > 0
}
