package execute

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/decision/lease"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// responseMargin is the time reserved before the caller's deadline for sending the response.
const responseMargin = 5 * time.Millisecond

// defaultRetryAfter is the retry hint when no better one is known.
const defaultRetryAfter = time.Second

// Config is the configuration of an Executor.
type Config struct {
	Dispatcher  *dispatch.Dispatcher
	Executions  *tables.Executions
	Claims      ClaimStore
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Log         zerolog.Logger
	// Window is the time in which the holder of a claim may send its request; 0 means claim.SendWindow.
	Window time.Duration
	// Now is the clock; nil means time.Now. Its times must carry a monotonic clock reading.
	Now func() time.Time
}

// Executor runs the non-idempotent requests of one daemon. Create it with New and stop it with Close.
type Executor struct {
	cfg      Config
	recorder *recorder
	sequence atomic.Uint64
}

// New returns a running executor.
func New(cfg Config) *Executor {
	if cfg.Window == 0 {
		cfg.Window = claim.SendWindow
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Executor{cfg: cfg, recorder: newRecorder(cfg.Claims, cfg.Log)}
}

// Close stops the executor after writing the queued records. Call it when no request is in progress.
func (e *Executor) Close() { e.recorder.close() }

// Execute runs a request and returns its response. It continues when ctx is cancelled, because the outcome of a request
// that was sent has to be recorded; the request's deadline bounds it.
func (e *Executor) Execute(ctx context.Context, req Request) Response {
	c := &call{Request: req, id: e.requestID()}
	if rejection := e.prepare(c); rejection != RejectNone {
		return Response{RequestID: c.id, Rejection: rejection}
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(-responseMargin))
	defer cancel()
	result := e.runOnce(ctx, c)
	if result.Rejected {
		return Response{RequestID: c.id, Rejection: RejectContentMismatch}
	}
	return Response{RequestID: c.id, ExecutionResult: result}
}

func (e *Executor) requestID() model.RequestID {
	return model.RequestID(fmt.Sprintf("%s-%x-x%x", e.cfg.Instance, uint64(e.cfg.Incarnation), e.sequence.Add(1))) //nolint:gosec // an identifier
}

// prepare parses the key and derives the digest and the shard, or rejects the request.
func (e *Executor) prepare(c *call) Rejection {
	if c.Key == "" {
		return RejectMissingKey
	}
	key, err := claim.ParseKey(c.Key)
	if err != nil {
		return RejectMalformedKey
	}
	if claim.ClassifyKey(key.Time(), e.cfg.Now()) == claim.KeyFromFuture {
		return RejectKeyFromFuture
	}
	c.key = key
	c.digest = claim.Digest(string(c.Service.Name), c.RoutingKey, c.Body)
	if c.RoutingKey == "" {
		c.RoutingKey = key.String()
	}
	c.shard = c.Service.ShardOf(int(xxhash.Sum64String(c.RoutingKey) % model.KeySpace))
	return RejectNone
}

// runOnce runs the request, or waits for the result if this daemon is already running a request with the same key.
func (e *Executor) runOnce(ctx context.Context, c *call) tables.ExecutionResult {
	execution, created := e.cfg.Executions.Begin(c.executionKey(), c.digest)
	if !created {
		return waitFor(ctx, c, execution)
	}
	result := e.admitAndRun(ctx, c)
	e.cfg.Executions.Finish(c.executionKey(), execution, result)
	return result
}

func waitFor(ctx context.Context, c *call, execution *tables.Execution) tables.ExecutionResult {
	if !execution.SameContent(c.digest) {
		return tables.ExecutionResult{Rejected: true}
	}
	select {
	case <-execution.Done():
		return execution.Result()
	case <-ctx.Done():
	}
	return unknownResult(ReasonStillRunning)
}

func (e *Executor) admitAndRun(ctx context.Context, c *call) tables.ExecutionResult {
	if claim.ClassifyKey(c.key.Time(), e.cfg.Now()) == claim.KeyTooOld {
		return tables.ExecutionResult{Outcome: model.OutcomeUnknown, Reason: ReasonKeyTooOld}
	}
	if c.shard == nil {
		return c.unclaimedResult(ReasonNoServer, defaultRetryAfter)
	}
	waiter := admission.Waiter{Caller: c.Caller, Rank: c.Rank, Deadline: c.Deadline}
	entry := e.cfg.Dispatcher.Admit(ctx, c.Service.Name, waiter, c.Topology.RankPolicy(c.Rank).MaxQueue)
	if !entry.Admitted() {
		return c.unclaimedResult(string(entry.Reason), entry.RetryAfter)
	}
	result := e.run(ctx, c)
	e.cfg.Dispatcher.FinishRequest(c.Service.Name, entry, c.slowdown)
	return result
}

// run claims the key, sends the request and records its outcome.
func (e *Executor) run(ctx context.Context, c *call) tables.ExecutionResult {
	held, result, ok := e.acquire(ctx, c)
	if !ok {
		return result
	}
	window := lease.Window{Start: held.granted, TTL: e.cfg.Window}
	result = e.send(ctx, c, window)
	switch result.Outcome {
	case model.OutcomeComplete:
		e.recorder.record(ctx, recordJob{key: held.key, version: held.version, next: held.record.Done(result.Result)})
	case model.OutcomeNotRun:
		e.recorder.record(ctx, recordJob{key: held.key, version: held.version, next: held.record.Released()})
	case model.OutcomePartial, model.OutcomeFailed, model.OutcomeUnknown:
		// The claim stays as it is, so that the request is never sent again.
		e.cfg.Log.Warn().Str("service", string(c.Service.Name)).Str("key", held.key.Key).
			Str("reason", result.Reason).Msg("claim_unknown")
	}
	return result
}

func (e *Executor) newClaimRecord(c *call) claim.Record {
	return claim.Record{
		State:       claim.StateClaimed,
		Nonce:       uuid.NewString(),
		Instance:    e.cfg.Instance,
		Incarnation: e.cfg.Incarnation,
		Digest:      c.digest,
		CreatedMs:   e.cfg.Now().UnixMilli(),
	}
}

func unknownResult(reason string) tables.ExecutionResult {
	return tables.ExecutionResult{Outcome: model.OutcomeUnknown, Reason: reason, RetryAfter: defaultRetryAfter}
}

func notRunResult(reason string, retryAfter time.Duration) tables.ExecutionResult {
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return tables.ExecutionResult{Outcome: model.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}
