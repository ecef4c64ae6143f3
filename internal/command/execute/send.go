package execute

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/lease"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// send sends a claimed request to a server. It retries at another server as long as the earlier ones provably did not run
// the request and the deadline, the rules and the retry budget allow it.
func (e *Executor) send(ctx context.Context, c *call, window lease.Window) tables.ExecutionResult {
	d := e.cfg.Dispatcher
	rnd := d.Rand()
	var tried []model.ServerName
	refusal := notRunResult(ReasonNoServer, 0)
	d.Budgets.OnRequest(time.Now())
	for attempt := uint32(1); int(attempt) <= max(1, c.Topology.Rules.Retry.MaxAttempts); attempt++ {
		criteria := dispatch.SelectionCriteria{Shard: c.shard, Rank: c.Rank, Tried: tried, Unforwarded: true}
		candidates, servers := d.Candidates(nil, nil, criteria, time.Now())
		i, ok := d.Choose(candidates, rnd)
		if !ok || (attempt > 1 && !d.Budgets.SpendRetry(time.Now())) {
			return refusal
		}
		if attempt > 1 {
			d.Metrics().Retry(c.Service.Name)
		}
		if candidates[i].Probe {
			servers[i].StartProbe()
		}
		tried = append(tried, candidates[i].Server.Name)
		end := d.Execute(ctx, &dispatch.ExecuteAttempt{
			Server:  servers[i],
			Rank:    c.Rank,
			Probe:   candidates[i].Probe,
			Request: e.attemptRequest(c, attempt),
			MaySend: func() bool { return ctx.Err() == nil && window.Valid(e.cfg.Now()) },
		})
		c.slowdown = max(c.slowdown, end.Slowdown)
		switch {
		case !end.Attempted:
			return e.notSentInTime(ctx)
		case end.Result.Status == backend.StatusOK:
			return tables.ExecutionResult{Outcome: model.OutcomeComplete, Result: end.Result.Result}
		case !end.Result.Status.ProvablyNotRun():
			return unknownResult(end.Result.Status.String())
		}
		refusal = notRunResult(end.Result.Status.String(), end.Result.RetryAfter)
	}
	return refusal
}

// notSentInTime returns the result of a request that was not sent before its deadline or the end of its claim's window.
func (e *Executor) notSentInTime(ctx context.Context) tables.ExecutionResult {
	if ctx.Err() != nil {
		return notRunResult(ReasonDeadline, 0)
	}
	return notRunResult(ReasonWindowPassed, 0)
}

func (e *Executor) attemptRequest(c *call, attempt uint32) backend.ExecuteRequest {
	return backend.ExecuteRequest{
		ID:       backend.AttemptID{Request: c.id, Incarnation: e.cfg.Incarnation, Attempt: attempt},
		Service:  c.Service.Name,
		Shard:    c.shard.Name,
		Key:      c.key.String(),
		Body:     c.Body,
		Deadline: c.Deadline,
	}
}
