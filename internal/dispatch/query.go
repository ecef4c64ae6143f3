package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

// QueryAttempt is one attempt of an idempotent sub-request.
type QueryAttempt struct {
	Server  *tables.Server
	Rank    model.Rank
	Request backend.QueryRequest
	// Probe marks an attempt at an ejected server, of which one is under way at a time.
	Probe bool
	// Gather asks that the attempt go through a daemon of the server's region, which merges the replies to the query. It is
	// for attempts of a message that goes to many shards.
	Gather bool
	// MergeWait is how long the reply may wait there for others.
	MergeWait time.Duration
	// ForwardTo, if it has an instance, is the daemon that sends the attempt and pays for it from the given part of its own extra
	// attempts.
	ForwardTo model.Member
	Charge    float64
	// BounceAfter is how long the attempt may wait for its server before it ends with StatusBusy, so that it can go to
	// another replica at no cost to this one; 0 means until the deadline.
	BounceAfter time.Duration
	// Done receives the result on a worker, unless the attempt was cancelled before it was sent.
	Done func(*QueryAttempt, backend.QueryResult)

	Started time.Time
	// Slowdown is the ratio of the attempt's latency to the server's uncongested one, set before Done is called.
	Slowdown float64
	d        *Dispatcher
	attempt  tables.Attempt
	sent     atomic.Bool
	// moved tells that the attempt was ended because its server's zone became unreachable.
	moved atomic.Bool
	ctx   context.Context //nolint:containedctx // the attempt's own lifetime, cancelled by Cancel
	stop  context.CancelFunc
	once  sync.Once
	// forwarded tells that the server's owner sends the attempt, and waited how long it waited before it was sent here.
	forwarded bool
	waited    time.Duration
	bounce    *pool.Entry
}

// StartQueries sends each attempt through the owner of its server, or when the server and a worker are free. Attempts that
// have the same owner share batches. ctx must carry the requests' deadline.
func (d *Dispatcher) StartQueries(ctx context.Context, qs []*QueryAttempt, now time.Time) {
	var out []tables.OutboundQuery
	plan := d.planGathering(qs)
	for _, q := range qs {
		owner, ok := d.route(q, plan)
		if !ok {
			d.startHere(ctx, q, now)
			continue
		}
		q.prepare(ctx, d, now)
		out = append(out, d.forwarding.outgoing(q, owner))
	}
	if len(out) > 0 {
		d.forwarding.forwards.Forward(out)
	}
}

// startHere sends the attempt from this daemon.
func (d *Dispatcher) startHere(ctx context.Context, q *QueryAttempt, now time.Time) {
	q.prepare(ctx, d, now)
	if q.BounceAfter > 0 {
		q.bounce = d.Timer.Schedule(now.Add(q.BounceAfter), q.onBounce)
	}
	d.submit(&q.attempt)
}

// onBounce ends the attempt if it still waits for its server.
func (q *QueryAttempt) onBounce() {
	if !q.Server.RemoveWaiting(&q.attempt) {
		return
	}
	q.stop()
	if q.Probe {
		q.Server.EndProbe()
	}
	q.Done(q, backend.QueryResult{Status: backend.StatusBusy})
}

func (q *QueryAttempt) prepare(ctx context.Context, d *Dispatcher, now time.Time) {
	q.d = d
	q.Started = now
	q.ctx, q.stop = context.WithCancel(ctx)
	q.attempt = tables.Attempt{Server: q.Server, Rank: q.Rank, Run: q.run}
}

// Forwarded tells whether another daemon was asked to send the attempt, so that it may have been sent although this daemon
// withdrew it.
func (q *QueryAttempt) Forwarded() bool { return q.forwarded }

// Cancel ends the attempt: it is withdrawn if it was not sent, otherwise the server is told, over a spare connection if
// there is one and by closing the attempt's connection if not. It tells whether the attempt was withdrawn, in which case
// Done is not called.
func (q *QueryAttempt) Cancel() (withdrawn bool) {
	q.once.Do(func() {
		if q.forwarded {
			withdrawn = q.d.forwarding.cancel(q)
			return
		}
		if q.Server.RemoveWaiting(&q.attempt) {
			withdrawn = true
			q.stop()
			return
		}
		q.d.cfg.Metrics.Cancellation(q.Request.Service)
		if q.sent.Load() && (q.Request.Message != nil || q.d.sendCancel(q.Server, q.Rank, q.Request.ID)) {
			// A server that does not act on the cancellation loses the connection. There is no cancellation of a message; its
			// reply is on the way in most cases, and the connection can be used again after it.
			q.d.Timer.Schedule(time.Now().Add(cancelTimeout), q.stop)
			return
		}
		q.stop()
	})
	if withdrawn && q.Probe {
		// No result will tell that the probe ended.
		q.Server.EndProbe()
	}
	return withdrawn
}

// run is called by a worker that holds headroom at the server. An attempt that waited while the server started to leave
// is not sent: it could reach the server as late as its deadline, which may lie beyond the bound for new work.
func (q *QueryAttempt) run() {
	begin := time.Now()
	if q.Server.Leaving() {
		q.d.release(q.Server)
		q.stop()
		q.Done(q, backend.QueryResult{Status: backend.StatusDraining})
		return
	}
	if !q.enterZone() {
		q.refuseZone()
		return
	}
	q.sent.Store(true)
	if q.bounce != nil {
		q.d.Timer.Cancel(q.bounce)
	}
	q.waited = begin.Sub(q.Started)
	result := q.leaveZone(q.Server.Client().Query(q.ctx, q.Request))
	q.Slowdown = q.d.end(q.Server, begin, q.waited, AttemptResult{
		Status: result.Status, Load: result.Reply.Load, Held: heldVersions(result),
	})
	q.stop()
	q.Done(q, result)
}
