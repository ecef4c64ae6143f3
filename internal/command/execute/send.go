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

// send sends a claimed request to one server, and to another one as long as the earlier ones provably did not run it and
// the deadline, the rules and the retry budget allow it.
func (e *Executor) send(ctx context.Context, c *call, window lease.Window) tables.ExecutionResult {
	d := e.cfg.Dispatcher
	rnd := d.Rand()
	var tried []model.ServerName
	refusal := notRun(ReasonNoServer, 0)
	d.Budgets.OnRequest(time.Now())
	for attempt := uint32(1); int(attempt) <= max(1, c.Topology.Rules.Retry.MaxAttempts); attempt++ {
		sel := dispatch.Selection{Shard: c.shard, Rank: c.Rank, Tried: tried}
		cs, records := d.Candidates(nil, nil, sel, time.Now())
		i, ok := d.Choose(cs, rnd)
		if !ok || (attempt > 1 && !d.Budgets.SpendRetry(time.Now())) {
			return refusal
		}
		if attempt > 1 {
			d.Metrics().Retry(c.Service.Name)
		}
		if cs[i].Probe {
			records[i].StartProbe()
		}
		tried = append(tried, cs[i].Server.Name)
		end := d.Execute(ctx, &dispatch.ExecuteAttempt{
			Server:  records[i],
			Rank:    c.Rank,
			Probe:   cs[i].Probe,
			Request: e.attemptRequest(c, attempt),
			MaySend: func() bool { return ctx.Err() == nil && window.Valid(e.cfg.Now()) },
		})
		c.slowdown = max(c.slowdown, end.Slowdown)
		switch {
		case !end.Attempted:
			return e.notSent(ctx)
		case end.Result.Status == backend.StatusOK:
			return tables.ExecutionResult{Outcome: model.OutcomeComplete, Result: end.Result.Result}
		case !end.Result.Status.ProvablyNotRun():
			return unknown(end.Result.Status.String())
		}
		refusal = notRun(end.Result.Status.String(), end.Result.RetryAfter)
	}
	return refusal
}

// notSent is the result of a request that its holder did not send in time.
func (e *Executor) notSent(ctx context.Context) tables.ExecutionResult {
	if ctx.Err() != nil {
		return notRun(ReasonDeadline, 0)
	}
	return notRun(ReasonWindowPassed, 0)
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
