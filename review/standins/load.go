package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// packLimit is the time limit of the requests of packsRoute.
const packLimit = 1500 * time.Millisecond

// packsRoute is a route whose requests may run once at most.
func packsRoute(kind string) Route {
	return Route{
		"name": "packs", "host": host, "prefix": "/packs/", "kind": kind, "timeout_ms": 1500, "target_latency_ms": 600,
		"priority": 2, "max_attempts": 2, "service": "offline-packs",
	}
}

// pause stops load from sending while it is set.
var pause atomic.Bool

// load sends requests to each daemon at the given interval until stop is closed.
func load(consumers []*Consumer, method, path string, interval, limit time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, c := range consumers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The consumers are out of step.
			time.Sleep(interval * time.Duration(i) / time.Duration(len(consumers)))
			t := time.NewTicker(interval)
			defer t.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				if pause.Load() {
					continue
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					body := ""
					if method == "POST" {
						body = fmt.Sprintf("pack %d", n)
					}
					c.Send(method, host, path, body, limit)
				}()
			}
		}()
	}
	return &wg
}
