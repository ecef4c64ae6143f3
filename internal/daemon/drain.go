package daemon

import (
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/drain"
)

// BeginDrain starts a graceful shutdown in the background.
func (d *Daemon) BeginDrain(reason string) { d.drainer.Start(reason) }

// Draining returns a channel that is closed once a graceful shutdown has begun.
func (d *Daemon) Draining() <-chan struct{} { return d.drainer.Started() }

// Drained returns a channel that is closed once a graceful shutdown has ended; call Stop then.
func (d *Daemon) Drained() <-chan struct{} { return d.drainer.Done() }

// newDrainer returns a drainer that closes the callers' port and then the operators' port. The peers' port stays open
// until Stop, so that peers can still fetch a revision that only this daemon has.
func (d *Daemon) newDrainer() *drain.Drainer {
	return drain.New(drain.Config{
		Grace:          time.Duration(d.settings.DrainGraceMs) * time.Millisecond,
		Timeout:        time.Duration(d.settings.DrainTimeoutMs) * time.Millisecond,
		LongestRequest: func() time.Duration { return time.Duration(d.maxDeadlineNs.Load()) },
		RefuseQueued:   d.dispatcher.Admissions.Drain,
		Listeners:      func() []drain.Listener { return []drain.Listener{d.callers, d.operators} },
		Log:            d.log,
	})
}

// closeWhileDraining wraps h to close each connection after its next response once a graceful shutdown has begun. A
// connection that stays open could be closed as idle just as its caller sends the next request.
func (d *Daemon) closeWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.drainer.Draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// handleDrain registers the drain endpoint on the operators' port.
func (d *Daemon) handleDrain(operators *http.ServeMux) {
	operators.Handle("POST /v1/drain", &commandhttp.Drain{Drainer: d.drainer})
}
