package drain

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// answerMargin is the time beyond its deadline that a request may need until its answer is written.
const answerMargin = 2 * time.Second

// Listener is a port with requests in flight; http.Server is one.
type Listener interface {
	// Shutdown closes the port and waits for its requests in flight until ctx ends.
	Shutdown(ctx context.Context) error
	// Close closes the port and its connections.
	Close() error
}

// Config says what to stop and how long that may take.
type Config struct {
	// Grace is how long requests are still admitted after readiness is withdrawn, so that the balancer notices.
	Grace time.Duration
	// Timeout bounds the whole drain, Grace included.
	Timeout time.Duration
	// LongestRequest returns the longest time that a request may still take once the grace time has passed. It extends
	// Timeout, so that no request is cut off within its deadline. Nil means no extension.
	LongestRequest func() time.Duration
	// RefuseQueued refuses all work that has not started.
	RefuseQueued func()
	// Listeners returns the ports in the order in which they close.
	Listeners func() []Listener
	Log       zerolog.Logger
}

// Drainer drains once: readiness goes first and stays off for Grace, then queued work is refused as not run, then the
// ports close and the requests in flight end. Create it with New.
type Drainer struct {
	cfg   Config
	once  sync.Once
	began chan struct{}
	done  chan struct{}
}

// New returns a drainer that has not begun.
func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg, began: make(chan struct{}), done: make(chan struct{})}
}

// Start starts the drain in the background, and tells whether it had not begun before.
func (d *Drainer) Start(reason string) (started bool) { return d.begin(reason, d.cfg.Grace) }

// StartWithoutGrace is Start without the grace time, for a caller that has taken the daemon out of the balancer already.
func (d *Drainer) StartWithoutGrace(reason string) (started bool) { return d.begin(reason, 0) }

func (d *Drainer) begin(reason string, grace time.Duration) (started bool) {
	d.once.Do(func() {
		started = true
		close(d.began)
		d.cfg.Log.Info().Str("reason", reason).Msg("drain_started")
		go d.run(grace)
	})
	return started
}

// Started returns a channel that is closed once the drain has begun.
func (d *Drainer) Started() <-chan struct{} { return d.began }

// Done returns a channel that is closed once the drain has ended.
func (d *Drainer) Done() <-chan struct{} { return d.done }

// Draining tells whether the drain has begun; the daemon is not ready from then on.
func (d *Drainer) Draining() bool {
	select {
	case <-d.began:
		return true
	default:
		return false
	}
}

func (d *Drainer) run(grace time.Duration) {
	defer close(d.done)
	ctx, cancel := context.WithTimeout(context.Background(), d.bound(grace))
	defer cancel()
	listeners := d.cfg.Listeners()
	// Idle connections stay open: http.Server.SetKeepAlivesEnabled would close them just when a caller may be sending its
	// next request. Responses during the drain end their connections instead.
	wait(ctx, grace)
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

// bound returns how long the drain may take.
func (d *Drainer) bound(grace time.Duration) time.Duration {
	if d.cfg.LongestRequest == nil {
		return d.cfg.Timeout
	}
	return max(d.cfg.Timeout, grace+d.cfg.LongestRequest()+answerMargin)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
