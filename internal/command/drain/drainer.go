package drain

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// responseMargin is the time beyond its deadline that a request may need until its response is written.
	responseMargin = 2 * time.Second
	// endMargin is the time that is reserved at the end of a drain for writing the responses of the requests that EndRequests
	// ends.
	endMargin = 150 * time.Millisecond
)

// Listener serves requests on a port; http.Server implements it.
type Listener interface {
	// Shutdown closes the port and waits for its requests in flight until ctx ends.
	Shutdown(ctx context.Context) error
	// Close closes the port and its connections.
	Close() error
}

// Config is the configuration of a Drainer: what to stop and how long that may take.
type Config struct {
	// Grace is how long requests are still admitted after readiness is withdrawn, so that the load balancer can stop
	// sending them.
	Grace time.Duration
	// Timeout bounds the whole drain, Grace included.
	Timeout time.Duration
	// LongestRequest returns the longest time that a request may still take once the grace time has passed. It extends
	// Timeout, so that no request is interrupted within its deadline. Nil means no extension.
	LongestRequest func() time.Duration
	// RefuseQueued refuses all work that has not started.
	RefuseQueued func()
	// EndRequests, if set, ends the requests that are still in flight shortly before the drain is out of time, so that their
	// callers get a response and not a closed connection.
	EndRequests func()
	// Listeners returns the ports in the order in which they close.
	Listeners func() []Listener
	Log       zerolog.Logger
}

// Drainer drains a daemon once: it withdraws readiness and waits for Grace, refuses queued work as not run, and then closes
// the ports and waits for the requests in flight, which it ends shortly before the timeout. Create it with New.
type Drainer struct {
	cfg      Config
	once     sync.Once
	draining chan struct{}
	done     chan struct{}
}

// New returns a drainer that has not started.
func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg, draining: make(chan struct{}), done: make(chan struct{})}
}

// Start starts the drain in the background, and reports whether it had not been started before.
func (d *Drainer) Start(reason string) (started bool) { return d.start(reason, d.cfg.Grace) }

// StartWithoutGrace is Start without the grace time, for a caller that has already removed the daemon from the load
// balancer.
func (d *Drainer) StartWithoutGrace(reason string) (started bool) { return d.start(reason, 0) }

func (d *Drainer) start(reason string, grace time.Duration) (started bool) {
	d.once.Do(func() {
		started = true
		close(d.draining)
		d.cfg.Log.Info().Str("reason", reason).Msg("drain_started")
		go d.run(grace)
	})
	return started
}

// Started returns a channel that is closed once the drain has started.
func (d *Drainer) Started() <-chan struct{} { return d.draining }

// Done returns a channel that is closed once the drain has ended.
func (d *Drainer) Done() <-chan struct{} { return d.done }

// Draining reports whether the drain has started; the daemon is not ready from then on.
func (d *Drainer) Draining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

func (d *Drainer) run(grace time.Duration) {
	defer close(d.done)
	timeout := d.maxDuration(grace)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if d.cfg.EndRequests != nil {
		defer time.AfterFunc(timeout-endMargin, d.cfg.EndRequests).Stop()
	}
	listeners := d.cfg.Listeners()
	// Idle connections stay open: http.Server.SetKeepAlivesEnabled would close them, possibly while a caller is sending its
	// next request. Each response during the drain closes its connection instead.
	sleep(ctx, grace)
	d.cfg.RefuseQueued()
	complete := true
	for _, l := range listeners {
		if err := l.Shutdown(ctx); err != nil {
			complete = false
			d.cfg.Log.Warn().Err(err).Msg("drain_incomplete")
			_ = l.Close()
		}
	}
	d.cfg.Log.Info().Bool("complete", complete).Msg("drain_ended")
}

// maxDuration returns how long the drain may take.
func (d *Drainer) maxDuration(grace time.Duration) time.Duration {
	if d.cfg.LongestRequest == nil {
		return d.cfg.Timeout
	}
	return max(d.cfg.Timeout, grace+d.cfg.LongestRequest()+responseMargin)
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
