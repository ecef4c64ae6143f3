package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// The states of an ExecuteAttempt. Exactly one of the worker and the waiting request moves it out of stateWaiting.
const (
	stateWaiting int32 = iota
	stateSending
	stateWithdrawn
)

// ExecuteAttempt is one attempt of a non-idempotent request. It is never hedged and never cancelled once sent: its end
// decides what the caller is told.
type ExecuteAttempt struct {
	Server  *tables.Server
	Rank    model.Rank
	Request backend.ExecuteRequest
	// Probe marks an attempt at an ejected server. The server answers a health request first, because a lost reply to a
	// non-idempotent request cannot be mended by a retry.
	Probe bool
	// MaySend is asked on the worker immediately before the request is sent; if it returns false, nothing is sent.
	MaySend func() bool

	d       *Dispatcher
	ctx     context.Context //nolint:containedctx // the attempt's own lifetime, bounded by the request's deadline
	attempt tables.Attempt
	state   atomic.Int32
	done    chan ExecuteOutcome
}

// ExecuteOutcome is how an ExecuteAttempt ended. If Attempted is false, the attempt was withdrawn or MaySend refused it: nothing
// was sent and Result is zero.
type ExecuteOutcome struct {
	Attempted bool
	Result    backend.ExecuteResult
	// Slowdown is the ratio of the latency to the server's uncongested one, or 0 without a reply.
	Slowdown float64
}

// Execute sends the attempt when its server and a worker are free, and waits for its end. ctx must carry the request's
// deadline; an attempt that still waits for its turn when ctx ends is withdrawn.
func (d *Dispatcher) Execute(ctx context.Context, a *ExecuteAttempt) ExecuteOutcome {
	a.d = d
	a.ctx = ctx
	a.done = make(chan ExecuteOutcome, 1)
	a.attempt = tables.Attempt{Server: a.Server, Rank: a.Rank, Run: a.run}
	d.submit(&a.attempt)
	select {
	case end := <-a.done:
		return end
	case <-ctx.Done():
	}
	if a.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		a.Server.RemoveWaiting(&a.attempt)
		a.endTrial()
		return ExecuteOutcome{}
	}
	return <-a.done
}

// run is called by a worker that holds headroom at the server. A withdrawn attempt only gives the headroom back.
func (a *ExecuteAttempt) run() {
	if !a.state.CompareAndSwap(stateWaiting, stateSending) {
		a.d.release(a.Server)
		return
	}
	if a.d.zones.Unreachable(a.Server.Spec().Zone) {
		// Nothing was sent, so that the request may go to another server.
		a.endTrial()
		a.d.release(a.Server)
		a.done <- ExecuteOutcome{Attempted: true, Result: backend.ExecuteResult{Status: backend.StatusUnreachable}}
		return
	}
	begin := time.Now()
	if a.Probe && !a.healthy() {
		a.d.end(a.Server, begin, 0, AttemptResult{Status: backend.StatusUnreachable})
		a.done <- ExecuteOutcome{Attempted: true, Result: backend.ExecuteResult{Status: backend.StatusUnreachable}}
		return
	}
	if !a.MaySend() {
		a.endTrial()
		a.d.release(a.Server)
		a.done <- ExecuteOutcome{}
		return
	}
	begin = time.Now()
	result := a.Server.Client().Execute(a.ctx, a.Request)
	slowdown := a.d.end(a.Server, begin, 0, AttemptResult{Status: result.Status})
	a.done <- ExecuteOutcome{Attempted: true, Result: result, Slowdown: slowdown}
}

// endTrial reports a trial that ended without evidence, so that another one may follow.
func (a *ExecuteAttempt) endTrial() {
	if a.Probe {
		a.d.observer.ObserveAttempt(a.Server, AttemptResult{Status: backend.StatusCancelled})
	}
}

func (a *ExecuteAttempt) healthy() bool {
	h, err := a.Server.Client().Health(a.ctx)
	return err == nil && h.Serving && !h.Draining
}
