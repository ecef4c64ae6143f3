package main

import (
	"fmt"
	"time"
)

func init() { plays["changed-path"] = playChangedPath }

// rootRoute takes all requests of the host that no longer prefix takes.
func rootRoute() Route {
	return Route{
		"name": "rest", "host": host, "prefix": "/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 600,
		"priority": 2, "max_attempts": 2, "service": "bookmarks",
	}
}

// playChangedPath has the operator add a route with the prefix "/", and compares the path and query of each request that a server
// ran with those that its consumer sent.
func playChangedPath(w *World, trouble bool) (bool, error) {
	for i := 1; i <= 3; i++ {
		zone := []string{"luzon-manila", "luzon-baguio"}[i%2]
		if _, err := w.AddServer(fmt.Sprintf("i-%d", i), "offline-packs", zone); err != nil {
			return false, err
		}
		if _, err := w.AddServer(fmt.Sprintf("b-%d", i), "bookmarks", zone); err != nil {
			return false, err
		}
	}
	w.Configure([]Route{packsRoute("unsafe")}, "offline-packs", "bookmarks")
	if err := w.StartDaemons("luzon-manila", "luzon-baguio", "luzon-manila"); err != nil {
		return false, err
	}
	var consumers []*Consumer
	for _, d := range w.Daemons {
		consumers = append(consumers, NewConsumer(w.Record, d))
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.Configure([]Route{packsRoute("unsafe"), rootRoute()}, "offline-packs", "bookmarks")
	}
	// Later than config_apply_ms after the acknowledgement.
	time.Sleep(4 * time.Second)

	sent := map[string]string{}
	for range 5 {
		for _, c := range consumers {
			for _, path := range []string{"/packs/a%20b", "/packs//a%20b?x=%20y", "/saved/a%20b", "//saved/a%20b", "//saved/a%2Fb?x=%20y"} {
				sent[c.Send("POST", host, path, "bookmark", packLimit).ID] = path
			}
		}
	}
	changed := 0
	for _, s := range w.Servers {
		for _, a := range s.Arrivals() {
			if a.Status == 200 && a.Target != sent[a.ID] {
				changed++
				w.Record.Printf("server %s ran %s as %q, its consumer sent %q", s.ID, a.ID, a.Target, sent[a.ID])
			}
		}
	}
	w.Record.Printf("%d requests ran with another path than their consumers sent", changed)
	return changed > 0, nil
}
