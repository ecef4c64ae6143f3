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
	// Policy is the policy of the request that the attempt belongs to; nil for a request without a route.
	Policy *model.RequestPolicy
	// Probe marks an attempt at an ejected server. There is at most one in flight per server.
	Probe bool
	// Gather requests that a daemon in the server's zone send the attempt and merge the replies to the query. It is used for
	// messages that are sent to many shards, and for servers that accept fewer connections than there may be daemons.
	Gather bool
	// MergeWait is how long that daemon may hold the reply back to merge it with others.
	MergeWait time.Duration
	// TrimTo is the number of records of a reply to a message that are needed; 0 means the whole reply.
	TrimTo int
	// ForwardTo, if its Instance is set, is the daemon that sends the attempt and charges it to its own budget of extra
	// attempts. Charge is the share of that budget that the attempt may use.
	ForwardTo model.Member
	Charge    float64
	// BounceAfter is how long the attempt may wait for capacity at its server. After that it ends with StatusBusy without
	// having been sent, so that it can be sent to another replica at no cost to this one. 0 means until the deadline.
	BounceAfter time.Duration
	// Done is called with the result, on a goroutine of the dispatcher or of a peer's call. It is not called if the attempt
	// was withdrawn.
	Done func(*QueryAttempt, backend.QueryResult)

	Started time.Time
	// Slowdown is the ratio of the attempt's total time to the server's uncongested latency. It is set before Done is
	// called.
	Slowdown float64
	d        *Dispatcher
	attempt  tables.Attempt
	sent     atomic.Bool
	// zoneUnreachable is set if the attempt was aborted because its server's zone became unreachable.
	zoneUnreachable atomic.Bool
	ctx             context.Context //nolint:containedctx // the attempt's own lifetime, cancelled by Cancel
	stop            context.CancelFunc
	cancelOnce      sync.Once
	// forwarded is true if another daemon sends the attempt. waited is how long the attempt was queued before this daemon
	// sent it.
	forwarded   bool
	waited      time.Duration
	bounceTimer *pool.TimerEntry
}

// StartQueries starts the attempts. Each one is forwarded to the daemon that is to send it, or queued until its server has
// capacity and a worker is free. Attempts that are forwarded to the same daemon share batches. ctx must carry the requests'
// deadline.
func (d *Dispatcher) StartQueries(ctx context.Context, qs []*QueryAttempt, now time.Time) {
	var out []tables.OutboundQuery
	plan := d.planGathering(qs)
	for _, q := range qs {
		target, ok := d.forwardingTarget(q, plan)
		if !ok {
			d.startLocal(ctx, q, now)
			continue
		}
		q.prepare(ctx, d, now)
		if !d.permitsAt(q.Policy, q.Server) {
			d.rejectLater(&q.attempt)
			continue
		}
		out = append(out, d.forwarding.outgoing(q, target))
	}
	if len(out) > 0 {
		d.forwarding.forwards.Forward(out)
	}
}

// startLocal sends the attempt from this daemon.
func (d *Dispatcher) startLocal(ctx context.Context, q *QueryAttempt, now time.Time) {
	q.prepare(ctx, d, now)
	d.startPrepared(q, now)
}

// startPrepared sends a prepared attempt from this daemon.
func (d *Dispatcher) startPrepared(q *QueryAttempt, now time.Time) {
	if q.BounceAfter > 0 {
		q.bounceTimer = d.Timer.Schedule(now.Add(q.BounceAfter), q.onBounce)
	}
	d.submit(&q.attempt)
}

// onBounce ends the attempt with StatusBusy if it is still waiting for capacity at its server.
func (q *QueryAttempt) onBounce() {
	if q.Server.RemoveWaiting(&q.attempt) {
		q.reject()
	}
}

// reject ends an attempt that was removed from its server's queue, so that the sub-request may be sent to another replica.
func (q *QueryAttempt) reject() {
	q.stop()
	if q.Probe {
		q.Server.EndProbe()
	}
	q.Done(q, backend.QueryResult{Status: unsentStatus})
}

func (q *QueryAttempt) prepare(ctx context.Context, d *Dispatcher, now time.Time) {
	q.d = d
	q.Started = now
	q.ctx, q.stop = context.WithCancel(ctx)
	q.attempt = tables.Attempt{Server: q.Server, Rank: q.Rank, Run: q.run, Reject: q.reject}
}

// Forwarded reports whether the attempt was forwarded to another daemon. Such an attempt may have been sent even if Cancel
// returned true.
func (q *QueryAttempt) Forwarded() bool { return q.forwarded }

// Cancel cancels the attempt. An attempt that was not sent is withdrawn. Otherwise the server is asked to stop it over a
// spare connection, or, if there is none, the attempt's connection is closed. Cancel reports whether the attempt was
// withdrawn, in which case Done is not called.
func (q *QueryAttempt) Cancel() (withdrawn bool) {
	q.cancelOnce.Do(func() {
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
			// If the server does not act on the cancellation in time, the connection is closed. A message cannot be
			// cancelled, but in most cases its reply arrives within this time and the connection can be reused.
			q.d.Timer.Schedule(time.Now().Add(cancelTimeout), q.stop)
			return
		}
		q.stop()
	})
	if withdrawn && q.Probe {
		// There is no result that would end the probe.
		q.Server.EndProbe()
	}
	return withdrawn
}

// run is called by a worker after capacity at the server was acquired. An attempt that was queued when the server started
// to leave or to push back is not sent: it could reach the server as late as the attempt's deadline, long after the server
// asked for no further requests. Nor is one that the configuration no longer permits.
func (q *QueryAttempt) run() {
	begin := time.Now()
	if refusal, refused := refusalOf(q.Server, begin); refused {
		q.endUnsent(refusal)
		return
	}
	if !q.d.permitsAt(q.Policy, q.Server) || !q.d.takeColdToken(q.Server, q.Rank) {
		q.endUnsent(backend.QueryResult{Status: unsentStatus})
		return
	}
	if !q.beginInZone() {
		q.endUnsent(backend.QueryResult{Status: backend.StatusZoneUnreachable})
		return
	}
	q.sent.Store(true)
	if q.bounceTimer != nil {
		q.d.Timer.Cancel(q.bounceTimer)
	}
	q.waited = begin.Sub(q.Started)
	result := q.endInZone(q.Server.Client().Query(q.ctx, q.Request))
	q.Slowdown = q.d.finishAttempt(q.Server, begin, q.waited, AttemptResult{
		Status: result.Status, Load: result.Reply.Load, Held: heldVersions(result), RetryAfter: result.RetryAfter,
	})
	q.stop()
	q.Done(q, result)
}

// endUnsent ends an attempt that acquired capacity without sending it.
func (q *QueryAttempt) endUnsent(r backend.QueryResult) {
	if q.Probe {
		q.Server.EndProbe()
	}
	q.d.release(q.Server)
	q.stop()
	q.Done(q, r)
}
