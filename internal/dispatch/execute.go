package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// The states of an ExecuteAttempt. Either the worker or the waiting request moves it out of stateWaiting, never both.
const (
	stateWaiting int32 = iota
	stateSending
	stateWithdrawn
)

// ExecuteAttempt is one attempt of a non-idempotent request. It is never hedged and never cancelled once it was sent,
// because its outcome determines the answer to the caller.
type ExecuteAttempt struct {
	Server  *tables.Server
	Rank    model.Rank
	Request backend.ExecuteRequest
	// Policy is the policy of the request; nil for a request without a route.
	Policy *model.RequestPolicy
	// Probe marks an attempt at an ejected server. The server must answer a health request first, because a non-idempotent
	// request whose reply is lost cannot be retried.
	Probe bool
	// MaySend is called on the worker immediately before the request is sent. If it returns false, nothing is sent.
	MaySend func() bool

	d       *Dispatcher
	ctx     context.Context //nolint:containedctx // the attempt's own lifetime, bounded by the request's deadline
	attempt tables.Attempt
	state   atomic.Int32
	done    chan ExecuteOutcome
}

// ExecuteOutcome is the outcome of an ExecuteAttempt. If Attempted is false, the attempt was withdrawn or MaySend returned
// false: nothing was sent and Result is zero. Otherwise the status of Result indicates whether the server may have run the
// request; with StatusUnreachable nothing was sent.
type ExecuteOutcome struct {
	Attempted bool
	Result    backend.ExecuteResult
	// Slowdown is the ratio of the latency to the server's uncongested latency, or 0 if there was no reply.
	Slowdown float64
}

// Execute sends the attempt when its server has capacity and a worker is free, and waits for the outcome. ctx must carry
// the request's deadline. An attempt that is still queued when ctx is done, or when the daemon drains, is withdrawn.
func (d *Dispatcher) Execute(ctx context.Context, a *ExecuteAttempt) ExecuteOutcome {
	a.d = d
	a.ctx = ctx
	a.done = make(chan ExecuteOutcome, 1)
	a.attempt = tables.Attempt{Server: a.Server, Rank: a.Rank, Run: a.run, Reject: a.reject}
	d.submit(&a.attempt)
	select {
	case outcome := <-a.done:
		return outcome
	case <-ctx.Done():
	case <-d.draining:
	}
	if a.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		a.Server.RemoveWaiting(&a.attempt)
		a.endProbe()
		return ExecuteOutcome{}
	}
	return <-a.done
}

// reject ends an attempt that was removed from its server's queue, so that the request may be sent to another server.
func (a *ExecuteAttempt) reject() {
	if !a.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		return
	}
	a.endProbe()
	a.done <- ExecuteOutcome{Attempted: true, Result: backend.ExecuteResult{Status: unsentStatus}}
}

// run is called by a worker after capacity at the server was acquired. For a withdrawn attempt it only releases the
// capacity.
func (a *ExecuteAttempt) run() {
	if !a.state.CompareAndSwap(stateWaiting, stateSending) {
		a.d.release(a.Server)
		return
	}
	if a.d.zones.Unreachable(a.Server.Spec().Zone) {
		a.endUnsent(backend.ExecuteResult{Status: backend.StatusUnreachable})
		return
	}
	begin := time.Now()
	if a.endIfRefused(begin) {
		return
	}
	if a.Probe && !a.healthy() {
		a.d.finishAttempt(a.Server, begin, 0, AttemptResult{Status: backend.StatusUnreachable})
		a.done <- ExecuteOutcome{Attempted: true, Result: backend.ExecuteResult{Status: backend.StatusUnreachable}}
		return
	}
	// The health request may have taken long.
	if a.Probe && a.endIfRefused(time.Now()) {
		return
	}
	if !a.d.takeColdToken(a.Server, a.Rank) {
		a.endUnsent(backend.ExecuteResult{Status: unsentStatus})
		return
	}
	if !a.MaySend() {
		a.endProbe()
		a.d.release(a.Server)
		a.done <- ExecuteOutcome{}
		return
	}
	begin = time.Now()
	result := a.Server.Client().Execute(a.ctx, a.Request)
	slowdown := a.d.finishAttempt(a.Server, begin, 0, AttemptResult{
		Status: result.Status, Load: result.Load, RetryAfter: result.RetryAfter,
	})
	a.done <- ExecuteOutcome{Attempted: true, Result: result, Slowdown: slowdown}
}

// endIfRefused ends the attempt if it must not be sent, and reports whether it did.
func (a *ExecuteAttempt) endIfRefused(now time.Time) (ended bool) {
	refusal, refused := refusalOf(a.Server, now)
	if !refused && !a.d.Draining() && a.d.permitsAt(a.Policy, a.Server) {
		return false
	}
	a.endUnsent(backend.ExecuteResult{Status: unsentStatus, RetryAfter: refusal.RetryAfter})
	return true
}

// endUnsent ends the attempt without sending it, so that the request may be sent to another server.
func (a *ExecuteAttempt) endUnsent(r backend.ExecuteResult) {
	a.endProbe()
	a.d.release(a.Server)
	a.done <- ExecuteOutcome{Attempted: true, Result: r}
}

// endProbe reports that a probe ended without evidence about the server, so that another probe may be sent.
func (a *ExecuteAttempt) endProbe() {
	if a.Probe {
		a.d.observer.ObserveAttempt(a.Server, AttemptResult{Status: backend.StatusCancelled})
	}
}

func (a *ExecuteAttempt) healthy() bool {
	h, err := a.Server.Client().Health(a.ctx)
	if err != nil {
		return false
	}
	recordColdness(a.Server, h, time.Now())
	return h.Serving && !h.Draining
}
