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
	// probeGrace is how long an answer waits for shards whose replicas are all ejected after the other shards have answered.
	probeGrace = 30 * time.Millisecond
	// maxVersionRounds bounds how often shards that answered with another index version are queried again.
	maxVersionRounds = 3
)

// queryCall is the call for a query of the search API. All items of its answer are of one index version.
type queryCall struct {
	*call
	// versionRounds counts how often shards were queried again to get one index version.
	versionRounds int
	// slowdowns has the dispatch.QueryAttempt.Slowdown of each reply received so far.
	slowdowns  []float64
	probeTimer *pool.TimerEntry
}

func newQueryCall(s *Searcher, id model.RequestID, req Request) *queryCall {
	c := &queryCall{call: newCall(s, id, req, req.Service.Shards)}
	c.variant = c
	return c
}

// run starts the attempts, waits until the call ends or ctx is done, and returns the answer.
func (c *queryCall) run(ctx context.Context) Answer {
	c.runUntilEnd(ctx)
	return c.finish()
}

func (c *queryCall) request(sh *shardState) backend.QueryRequest {
	return backend.QueryRequest{
		Service: c.req.Service.Name, Epoch: c.req.Service.Epoch, WantVersion: sh.wantVersion, Text: c.req.Text, Limit: c.req.Limit,
	}
}

func (c *queryCall) service(*shardState) model.ServiceName { return c.req.Service.Name }

func (c *queryCall) wantedVersion(now time.Time) model.IndexVersion {
	return c.searcher.Dispatcher.PreferredVersion(c.req.Service, now)
}

func (c *queryCall) sendsRemotely(*tables.Server) bool { return false }

func (c *queryCall) mergeWait() time.Duration { return 0 }

func (c *queryCall) maxRecords() int { return 0 }

func (c *queryCall) onHedged(time.Time) {}

func (c *queryCall) onRetried() {}

func (c *queryCall) mayStart() bool { return true }

func (c *queryCall) onStarted() {}

func (c *queryCall) onResult(i int, q *dispatch.QueryAttempt, r backend.QueryResult, now time.Time) {
	sh := &c.shards[i]
	switch r.Status {
	case backend.StatusOK:
		c.slowdowns = append(c.slowdowns, q.Slowdown)
		c.onReply(sh, q, r.Reply)
	case backend.StatusVersionNotHeld:
		sh.heldVersions = append(sh.heldVersions, r.Retained...)
		c.searcher.Dispatcher.RecordMixedVersions(c.req.Service.Name, now)
		c.resend(i, now)
	case backend.StatusCancelled, backend.StatusDeadlinePassed, backend.StatusOverBudget:
		// StatusOverBudget does not occur: no other daemon is charged for attempts of search queries.
	case backend.StatusUnreachable, backend.StatusDraining, backend.StatusOwnerLost, backend.StatusBusy:
		// The server did no work for the attempt, or the daemon that owns the server is lost. Another attempt needs no budget.
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
	sh.heldVersions = append(sh.heldVersions, reply.Version)
	sh.heldVersions = append(sh.heldVersions, reply.Retained...)
	c.cancelPending(sh, func(other *dispatch.QueryAttempt) bool {
		return other.Request.WantVersion == q.Request.WantVersion
	})
}

// evaluate ends the call, or queries shards again for the chosen version, once no shard without a reply has a pending
// attempt. It waits for probes of ejected servers only for probeGrace.
func (c *queryCall) evaluate(now time.Time) {
	if c.waitsFor(func(sh *shardState) bool { return !sh.optional }) {
		return
	}
	if c.waitsFor(func(sh *shardState) bool { return sh.optional }) {
		c.limitProbeWait(now)
		return
	}
	plan, ok := snapshot.Choose(c.versionStates())
	if !ok || len(plan.Requery) == 0 || c.versionRounds >= maxVersionRounds || !c.requery(plan, now) {
		c.endLocked()
	}
}

// waitsFor reports whether a selected shard has a pending attempt and no reply yet.
func (c *queryCall) waitsFor(selected func(*shardState) bool) bool {
	for i := range c.shards {
		sh := &c.shards[i]
		if selected(sh) && len(sh.pending) > 0 && !sh.hasReply(sh.wantVersion) {
			return true
		}
	}
	return false
}

// limitProbeWait schedules the end of the call after probeGrace, even if probes of ejected servers are still pending.
func (c *queryCall) limitProbeWait(now time.Time) {
	if c.probeTimer == nil {
		c.probeTimer = c.searcher.Dispatcher.Timer.Schedule(now.Add(probeGrace), c.end)
	}
}

// requery queries the plan's shards again for its version, and reports whether any attempt was started.
func (c *queryCall) requery(plan snapshot.Plan, now time.Time) bool {
	c.versionRounds++
	c.searcher.Dispatcher.RecordMixedVersions(c.req.Service.Name, now)
	started := false
	for _, i := range plan.Requery {
		sh := &c.shards[i]
		sh.wantVersion = plan.Version
		sh.tried = nil
		if c.prepareOnBestReplica(i, localCharge, now) {
			started = true
		}
	}
	c.startPrepared(now)
	return started
}

func (c *queryCall) versionStates() []snapshot.ShardVersions {
	out := make([]snapshot.ShardVersions, len(c.shards))
	for i := range c.shards {
		sh := &c.shards[i]
		out[i].Fraction = sh.shard.Fraction()
		out[i].Held = sh.heldVersions
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

func (c *queryCall) spendHedge(_ *shardState, now time.Time) budgetCharge {
	return budgetCharge{local: c.searcher.Dispatcher.Budgets.SpendHedge(c.req.Rank, now)}
}

// spendRetry allows any retry under the baseline policy, which limits only the number of attempts.
func (c *queryCall) spendRetry(_ *shardState, now time.Time) budgetCharge {
	d := c.searcher.Dispatcher
	return budgetCharge{local: d.Policy() == model.PolicyBaseline || d.Budgets.SpendRetry(now)}
}

func (c *queryCall) maxAttempts() int { return c.req.Topology.Rules.Retry.MaxAttempts }

// mayHedge always returns true: only the budget limits hedges.
func (c *queryCall) mayHedge(*shardState) bool { return true }

// hedgeTime uses the shortest hedge delay of the shard's replicas, which loadCandidates has put into c.records, but at
// least the delay that the rule requires. It returns zero if hedging is off or no latency was observed.
func (c *queryCall) hedgeTime(_ *tables.Server, _ time.Duration, now time.Time) time.Time {
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

func (c *queryCall) postponeHedges(time.Time) time.Time { return time.Time{} }
