package main

import (
	"fmt"
	"time"
)

func init() { plays["odd-entry"] = playOddEntry }

// drainPeriod is drain_ms of the settings.
const drainPeriod = 3 * time.Second

// playOddEntry removes a server that never reports draining, and then has another writer write an entry with a missing field
// under its key.
func playOddEntry(w *World, trouble bool) (bool, error) {
	for i := 1; i <= 3; i++ {
		if _, err := w.AddServer(fmt.Sprintf("i-%d", i), "offline-packs", []string{"luzon-manila", "luzon-baguio"}[i%2]); err != nil {
			return false, err
		}
	}
	for _, s := range w.Servers {
		s.SetWork(60 * time.Millisecond)
	}
	w.Configure([]Route{packsRoute("unsafe")}, "offline-packs")
	if err := w.StartDaemons("luzon-manila", "luzon-baguio", "luzon-manila"); err != nil {
		return false, err
	}
	var consumers []*Consumer
	for _, d := range w.Daemons {
		consumers = append(consumers, NewConsumer(w.Record, d))
	}
	stop := make(chan struct{})
	wg := load(consumers, "POST", "/packs/1", 50*time.Millisecond, packLimit, stop)
	time.Sleep(6 * time.Second)

	leaver := w.Servers["i-1"]
	odd := leaver.Entry()
	delete(odd, "cold_remaining_ms")
	w.Store.Delete("servers/i-1")
	gone := time.Now()
	w.Record.Printf("server i-1: its entry is removed, it serves on for a while")
	time.Sleep(5 * time.Second)
	if trouble {
		w.Store.Put("servers/i-1", odd)
		w.Record.Printf("another writer: wrote servers/i-1 without cold_remaining_ms")
	}
	time.Sleep(5 * time.Second)
	leaver.Stop()
	w.Record.Printf("server i-1: ended")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	late := 0
	for _, a := range leaver.Arrivals() {
		if a.Status != 421 && a.At.Sub(gone) > drainPeriod {
			late++
		}
	}
	lost, served := 0, 0
	for _, c := range consumers {
		for _, a := range c.Answers() {
			switch {
			case a.Status == 200:
				served++
			case a.Status == 0 || a.Status == 502 || a.Status == 504:
				lost++
			}
		}
	}
	w.Record.Printf("%d requests reached i-1 later than drain_ms after its entry was gone", late)
	w.Record.Printf("%d requests served, %d ended with 502, 504 or without an answer", served, lost)
	return late > 0, nil
}
