package scatter

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/decision/snapshot"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// answerMargin is kept before the caller's deadline for merging and sending a partial answer.
	answerMargin = 5 * time.Millisecond
	// cancelGrace is the time that servers have to end attempts after the caller's deadline.
	cancelGrace = 50 * time.Millisecond
	// probeGrace is the time that an answer waits for shards whose only replicas are ejected, once the others answered.
	probeGrace = 30 * time.Millisecond
	// maxVersionRounds bounds how often differing shards are asked again for one version.
	maxVersionRounds = 3
)

// call is the state of one scatter-gather. Workers, the timer and the request's goroutine share it under its lock.
type call struct {
	searcher *Searcher
	id       model.RequestID
	req      Request
	rnd      *rand.Rand

	mu       lockorder.Mutex
	ctx      context.Context //nolint:containedctx // the lifetime of the attempts that the call starts
	release  context.CancelFunc
	shards   []shardState
	attempts uint32
	// route is set for a request that is passed on; nil for a query of the product's own interface.
	route  *routeState
	rounds int
	ended  bool
	// slowdowns are those of the replies so far.
	slowdowns []float64
	deadline  *pool.Entry
	hedge     *pool.Entry
	probes    *pool.Entry
	done      chan struct{}

	candidates []routing.Candidate
	records    []*tables.Server
	// chosen are the attempts that startChosen has yet to start. It is empty whenever the lock is free and whenever attempts
	// are cancelled.
	chosen []*dispatch.QueryAttempt
}

func newCall(s *Searcher, id model.RequestID, req Request) *call {
	return newCallOver(s, id, req, req.Service.Shards)
}

func newCallOver(s *Searcher, id model.RequestID, req Request, shards []*model.Shard) *call {
	c := &call{
		searcher: s,
		id:       id,
		req:      req,
		rnd:      s.Dispatcher.Rand(),
		mu:       lockorder.New(tables.OrderCall),
		shards:   make([]shardState, len(shards)),
		done:     make(chan struct{}),
	}
	for i, sh := range shards {
		c.shards[i].shard = sh
	}
	return c
}

// run starts the attempts and waits for the end of the call, the deadline, or the caller's cancellation.
func (c *call) run(ctx context.Context) Answer {
	c.runUntilEnd(ctx)
	return c.finish()
}

// runUntilEnd returns when the call has ended or the caller has left.
func (c *call) runUntilEnd(ctx context.Context) {
	// Attempts outlive the caller's context, so that they are cancelled on the server by message and not by closing
	// their connections; the deadline bounds them.
	attempts, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(cancelGrace))
	c.start(attempts, cancel)
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

func (c *call) start(ctx context.Context, release context.CancelFunc) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx, c.release = ctx, release
	want := c.wantedVersion(now)
	for i := range c.shards {
		c.shards[i].want = want
		c.countRequest(i, now)
		c.sendTo(i, now)
	}
	c.startChosen(now)
	timer := c.searcher.Dispatcher.Timer
	c.deadline = timer.Schedule(c.req.Deadline.Add(-answerMargin), c.end)
	c.scheduleDue()
	c.scheduleHedge()
	c.evaluate(now)
}

// sendTo chooses the best replica that was not tried yet for one attempt of a shard, and tells whether there was one. The
// attempt starts with startChosen.
func (c *call) sendTo(i int, now time.Time) bool {
	sh := &c.shards[i]
	c.loadCandidates(sh, now)
	j, ok := c.searcher.Dispatcher.Choose(c.candidates, c.rnd)
	if !ok {
		return false
	}
	if c.candidates[j].Probe {
		c.records[j].StartProbe()
		sh.optional = !anyUsable(c.candidates)
	}
	c.send(i, c.records[j], c.candidates[j].Probe, now)
	return true
}

// loadCandidates sets candidates and records to the replicas of a shard.
func (c *call) loadCandidates(sh *shardState, now time.Time) {
	sel := dispatch.Selection{Shard: sh.shard, Rank: c.req.Rank, Tried: sh.tried}
	c.candidates, c.records = c.searcher.Dispatcher.Candidates(c.candidates, c.records, sel, now)
}

func anyUsable(cs []routing.Candidate) bool {
	return slices.ContainsFunc(cs, func(c routing.Candidate) bool { return c.Usable })
}

func (c *call) send(i int, server *tables.Server, probe bool, now time.Time) {
	sh := &c.shards[i]
	c.attempts++
	sh.attempts++
	sh.tried = append(sh.tried, server.Name())
	q := &dispatch.QueryAttempt{
		Server: server,
		Rank:   c.req.Rank,
		Probe:  probe,
		// Later attempts go directly, so that what holds the first ones up does not hold them up too.
		Gather:  c.gathers() && sh.attempts == 1,
		Request: c.request(sh),
		Done:    func(q *dispatch.QueryAttempt, r backend.QueryResult) { c.onEnd(i, q, r) },
	}
	sh.hedgeAt = c.hedgeTime(server, now)
	if sh.attempts == 1 && c.req.Rank != model.RankDeferred && !sh.hedgeAt.IsZero() && len(c.records) > 1 {
		// A first attempt that waits for longer than a hedge would moves to another replica; later ones stay.
		q.BounceAfter = sh.hedgeAt.Sub(now)
	}
	sh.pending = append(sh.pending, q)
	c.chosen = append(c.chosen, q)
}

func (c *call) request(sh *shardState) backend.QueryRequest {
	r := backend.QueryRequest{
		ID:       backend.AttemptID{Request: c.id, Incarnation: c.searcher.Incarnation, Attempt: c.attempts},
		Shard:    sh.shard.Name,
		Deadline: c.req.Deadline,
	}
	if c.route != nil {
		r.Service = model.ServiceName(sh.shard.Name)
		r.Message = c.route.message
		if index := c.route.route.Index; index != nil {
			r.Limit = index.Results
		}
		return r
	}
	r.Service = c.req.Service.Name
	r.Epoch = c.req.Service.Epoch
	r.WantVersion = sh.want
	r.Text = c.req.Text
	r.Limit = c.req.Limit
	return r
}

// startChosen starts what send and sendTo chose, together, so that attempts with the same owner share batches.
func (c *call) startChosen(now time.Time) {
	c.searcher.Dispatcher.StartQueries(c.ctx, c.chosen, now)
	clear(c.chosen)
	c.chosen = c.chosen[:0]
}

// onEnd takes the result of one attempt.
func (c *call) onEnd(i int, q *dispatch.QueryAttempt, r backend.QueryResult) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	sh := &c.shards[i]
	sh.removePending(q)
	if c.ended {
		c.releaseIfIdle()
		return
	}
	if c.route != nil {
		c.onRouteEnd(i, q, r, now)
		return
	}
	switch r.Status {
	case backend.StatusOK:
		c.slowdowns = append(c.slowdowns, q.Slowdown)
		c.onReply(sh, q, r.Reply)
	case backend.StatusVersionNotHeld:
		sh.held = append(sh.held, r.Retained...)
		c.searcher.Dispatcher.NoteMixedVersions(c.req.Service.Name, now)
		c.resend(i, now)
	case backend.StatusCancelled, backend.StatusDeadlinePassed:
	case backend.StatusUnreachable, backend.StatusDraining, backend.StatusOwnerLost, backend.StatusBusy:
		// The server spent nothing on the attempt, or its owner is lost, so that another one needs no budget.
		c.resend(i, now)
	case backend.StatusShed, backend.StatusLost, backend.StatusMismatched, backend.StatusFailed,
		backend.StatusZoneUnreachable, backend.StatusReplaced:
		c.retry(i, now)
	}
	c.evaluate(now)
}

func (c *call) onReply(sh *shardState, q *dispatch.QueryAttempt, reply backend.QueryReply) {
	if reply.Epoch != c.req.Service.Epoch {
		return
	}
	sh.replies = append(sh.replies, shardReply{version: reply.Version, items: reply.Items})
	sh.held = append(sh.held, reply.Version)
	sh.held = append(sh.held, reply.Retained...)
	sh.cancelPending(func(other *dispatch.QueryAttempt) bool {
		return other.Request.WantVersion == q.Request.WantVersion
	})
}

// retry sends a failed sub-request to another replica if the rules and the budget allow it.
func (c *call) retry(i int, now time.Time) {
	if c.mayResend(i) && c.spendRetry(i, now) {
		c.searcher.Dispatcher.Metrics().Retry(c.serviceOf(i))
		c.sendAgain(i, now)
	}
}

// resend sends a sub-request that cost its server nothing to another replica if the rules allow it.
func (c *call) resend(i int, now time.Time) {
	if c.mayResend(i) {
		c.sendAgain(i, now)
	}
}

// sendAgain prefers a replica that was not tried; once all were, any of them may have recovered.
func (c *call) sendAgain(i int, now time.Time) {
	if !c.sendTo(i, now) {
		c.shards[i].tried = nil
		c.sendTo(i, now)
	}
	c.startChosen(now)
}

func (c *call) mayResend(i int) bool {
	sh := &c.shards[i]
	if len(sh.pending) > 0 || sh.answers(sh.want) {
		return false
	}
	return sh.attempts < c.maxAttempts()
}

// evaluate ends the call, or asks shards again for the chosen version, once no attempt is pending.
func (c *call) evaluate(now time.Time) {
	if c.route != nil {
		c.evaluateRoute(now)
		return
	}
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
func (c *call) waitsFor(selected func(*shardState) bool) bool {
	for i := range c.shards {
		sh := &c.shards[i]
		if selected(sh) && len(sh.pending) > 0 && !sh.answers(sh.want) {
			return true
		}
	}
	return false
}

// awaitProbes ends the call soon although probes of ejected servers are pending.
func (c *call) awaitProbes(now time.Time) {
	if c.probes == nil {
		c.probes = c.searcher.Dispatcher.Timer.Schedule(now.Add(probeGrace), c.end)
	}
}

// slowdown returns the median slowdown of the replies, or 0 if there were none.
func (c *call) slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.slowdowns) == 0 {
		return 0
	}
	slices.Sort(c.slowdowns)
	return c.slowdowns[len(c.slowdowns)/2]
}

// reask asks the plan's shards again for its version and tells whether any attempt was started.
func (c *call) reask(plan snapshot.Plan, now time.Time) bool {
	c.rounds++
	c.searcher.Dispatcher.NoteMixedVersions(c.req.Service.Name, now)
	started := false
	for _, i := range plan.Reask {
		sh := &c.shards[i]
		sh.want = plan.Version
		sh.tried = nil
		if c.sendTo(i, now) {
			started = true
		}
	}
	c.startChosen(now)
	return started
}

func (c *call) versions() []snapshot.Shard {
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

// end ends the call with what is in hand; the timer calls it shortly before the deadline.
func (c *call) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
}

func (c *call) endLocked() {
	if c.ended {
		return
	}
	c.ended = true
	for i := range c.shards {
		c.shards[i].cancelPending(func(*dispatch.QueryAttempt) bool { return true })
	}
	c.releaseIfIdle()
	close(c.done)
}

// releaseIfIdle frees the attempts' context once none of them is pending.
func (c *call) releaseIfIdle() {
	for i := range c.shards {
		if len(c.shards[i].pending) > 0 {
			return
		}
	}
	c.release()
}
