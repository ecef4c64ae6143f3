package scatter

import (
	"context"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/snapshot"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// probeGrace is the time that an answer waits for shards whose only replicas are ejected, once the others answered.
	probeGrace = 30 * time.Millisecond
	// maxVersionRounds bounds how often differing shards are asked again for one version.
	maxVersionRounds = 3
)

// queryCall is the call of a query of the product's own interface: its answer has one index version.
type queryCall struct {
	*call
	// rounds counts how often shards were asked again for one version.
	rounds int
	// slowdowns are those of the replies so far.
	slowdowns []float64
	probes    *pool.Entry
}

func newQueryCall(s *Searcher, id model.RequestID, req Request) *queryCall {
	c := &queryCall{call: newCall(s, id, req, req.Service.Shards)}
	c.variant = c
	return c
}

// run starts the attempts and waits for the end of the call, the deadline, or the caller's cancellation.
func (c *queryCall) run(ctx context.Context) Answer {
	c.runUntilEnd(ctx)
	return c.finish()
}

func (c *queryCall) request(sh *shardState) backend.QueryRequest {
	return backend.QueryRequest{
		Service: c.req.Service.Name, Epoch: c.req.Service.Epoch, WantVersion: sh.want, Text: c.req.Text, Limit: c.req.Limit,
	}
}

func (c *queryCall) service(*shardState) model.ServiceName { return c.req.Service.Name }

func (c *queryCall) wantedVersion(now time.Time) model.IndexVersion {
	return c.searcher.Dispatcher.PreferredVersion(c.req.Service, now)
}

func (c *queryCall) gathers() (mergeWait time.Duration, ok bool) { return 0, false }

func (c *queryCall) begin() {}

func (c *queryCall) onResult(i int, q *dispatch.QueryAttempt, r backend.QueryResult, now time.Time) {
	sh := &c.shards[i]
	switch r.Status {
	case backend.StatusOK:
		c.slowdowns = append(c.slowdowns, q.Slowdown)
		c.onReply(sh, q, r.Reply)
	case backend.StatusVersionNotHeld:
		sh.held = append(sh.held, r.Retained...)
		c.searcher.Dispatcher.NoteMixedVersions(c.req.Service.Name, now)
		c.resend(i, now)
	case backend.StatusCancelled, backend.StatusDeadlinePassed, backend.StatusOverBudget:
		// No other daemon pays for attempts of the product's own queries.
	case backend.StatusUnreachable, backend.StatusDraining, backend.StatusOwnerLost, backend.StatusBusy:
		// The server spent nothing on the attempt, or its owner is lost, so that another one needs no budget.
		c.resend(i, now)
	case backend.StatusShed, backend.StatusLost, backend.StatusMismatched, backend.StatusFailed,
		backend.StatusZoneUnreachable, backend.StatusReplaced:
		c.retry(i, now)
	}
}

func (c *queryCall) onReply(sh *shardState, q *dispatch.QueryAttempt, reply backend.QueryReply) {
	if reply.Epoch != c.req.Service.Epoch {
		return
	}
	sh.replies = append(sh.replies, shardReply{version: reply.Version, items: reply.Items})
	sh.held = append(sh.held, reply.Version)
	sh.held = append(sh.held, reply.Retained...)
	c.cancelPending(sh, func(other *dispatch.QueryAttempt) bool {
		return other.Request.WantVersion == q.Request.WantVersion
	})
}

// evaluate ends the call, or asks shards again for the chosen version, once no attempt is pending.
func (c *queryCall) evaluate(now time.Time) {
	if c.waitsFor(func(sh *shardState) bool { return !sh.optional }) {
		return
	}
	if c.waitsFor(func(sh *shardState) bool { return sh.optional }) {
		c.awaitProbes(now)
		return
	}
	plan, ok := snapshot.Choose(c.versions())
	if !ok || len(plan.Reask) == 0 || c.rounds >= maxVersionRounds || !c.reask(plan, now) {
		c.endLocked()
	}
}

// waitsFor tells whether a selected shard has an attempt pending and no answer yet.
func (c *queryCall) waitsFor(selected func(*shardState) bool) bool {
	for i := range c.shards {
		sh := &c.shards[i]
		if selected(sh) && len(sh.pending) > 0 && !sh.answers(sh.want) {
			return true
		}
	}
	return false
}

// awaitProbes ends the call soon although probes of ejected servers are pending.
func (c *queryCall) awaitProbes(now time.Time) {
	if c.probes == nil {
		c.probes = c.searcher.Dispatcher.Timer.Schedule(now.Add(probeGrace), c.end)
	}
}

// reask asks the plan's shards again for its version and tells whether any attempt was started.
func (c *queryCall) reask(plan snapshot.Plan, now time.Time) bool {
	c.rounds++
	c.searcher.Dispatcher.NoteMixedVersions(c.req.Service.Name, now)
	started := false
	for _, i := range plan.Reask {
		sh := &c.shards[i]
		sh.want = plan.Version
		sh.tried = nil
		if c.sendTo(i, free, now) {
			started = true
		}
	}
	c.startChosen(now)
	return started
}

func (c *queryCall) versions() []snapshot.Shard {
	out := make([]snapshot.Shard, len(c.shards))
	for i := range c.shards {
		sh := &c.shards[i]
		out[i].Fraction = sh.shard.Fraction()
		out[i].Held = sh.held
		for _, r := range sh.replies {
			out[i].Answered = append(out[i].Answered, r.version)
		}
	}
	return out
}

// slowdown returns the median slowdown of the replies, or 0 if there were none.
func (c *queryCall) slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.slowdowns) == 0 {
		return 0
	}
	slices.Sort(c.slowdowns)
	return c.slowdowns[len(c.slowdowns)/2]
}

func (c *queryCall) countRequest(_ *shardState, now time.Time) {
	c.searcher.Dispatcher.Budgets.OnRequest(now)
}

func (c *queryCall) spendHedge(_ *shardState, now time.Time) payment {
	return payment{paid: c.searcher.Dispatcher.Budgets.SpendHedge(c.req.Rank, now)}
}

// spendRetry allows any retry under the baseline policy, which bounds them by their number alone.
func (c *queryCall) spendRetry(_ *shardState, now time.Time) payment {
	d := c.searcher.Dispatcher
	return payment{paid: d.Policy() == model.PolicyBaseline || d.Budgets.SpendRetry(now)}
}

func (c *queryCall) maxAttempts() int { return c.req.Topology.Rules.Retry.MaxAttempts }

// mayHedge allows any hedge, which the budget alone bounds.
func (c *queryCall) mayHedge(*shardState) bool { return true }

// hedgeTime is the quantile of the shard's fastest replica, whose records the call's scratch slices hold. It is zero if
// hedging is off or nothing was observed.
func (c *queryCall) hedgeTime(_ *tables.Server, now time.Time) time.Time {
	rule := c.req.Topology.Rules.Hedge
	if rule.MaxRatio <= 0 || c.searcher.Dispatcher.Policy() == model.PolicyBaseline {
		return time.Time{}
	}
	delay := time.Duration(0)
	for _, r := range c.records {
		if d := r.HedgeDelay(); d > 0 && (delay == 0 || d < delay) {
			delay = d
		}
	}
	if delay == 0 {
		return time.Time{}
	}
	return now.Add(max(delay, time.Duration(rule.MinDelayMs)*time.Millisecond))
}

func (c *queryCall) postponed(time.Time) time.Time { return time.Time{} }
