package scatter

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/routing"
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
)

// call is the state of one scatter-gather. Workers, the timer and the request's goroutine share it under its lock.
type call struct {
	searcher *Searcher
	id       model.RequestID
	req      Request
	rnd      *rand.Rand
	variant  variant

	mu       lockorder.Mutex
	ctx      context.Context //nolint:containedctx // the lifetime of the attempts that the call starts
	release  context.CancelFunc
	shards   []shardState
	attempts uint32
	// otherRegion counts the first attempts at servers in another region.
	otherRegion int
	// unproven counts the attempts of which it is not proved that no server ran them.
	unproven int
	// unpaid counts the extra attempts that nobody paid for, which were not sent.
	unpaid int

	ended    bool
	deadline *pool.Entry
	hedge    *pool.Entry
	done     chan struct{}

	candidates []routing.Candidate
	records    []*tables.Server
	// chosen are the attempts that startChosen has yet to start. It is empty whenever the lock is free and whenever attempts
	// are cancelled.
	chosen []*dispatch.QueryAttempt
}

// newCall returns a call whose variant is still to be set.
func newCall(s *Searcher, id model.RequestID, req Request, shards []*model.Shard) *call {
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
	want := c.variant.wantedVersion(now)
	for i := range c.shards {
		c.shards[i].want = want
		c.variant.countRequest(&c.shards[i], now)
		c.sendTo(i, free, now)
	}
	c.startChosen(now)
	timer := c.searcher.Dispatcher.Timer
	c.deadline = timer.Schedule(c.req.Deadline.Add(-answerMargin), c.end)
	c.variant.begin()
	c.scheduleHedge()
	c.variant.evaluate(now)
}

// sendTo chooses the best replica that was not tried yet for one attempt of a shard, and tells whether there was one. The
// attempt starts with startChosen.
func (c *call) sendTo(i int, p payment, now time.Time) bool {
	sh := &c.shards[i]
	c.loadCandidates(sh, now)
	j, ok := c.searcher.Dispatcher.Choose(c.candidates, c.rnd)
	if !ok {
		return false
	}
	candidate := &c.candidates[j]
	first := sh.attempts == 0
	if !c.send(i, c.records[j], candidate.Probe, p, now) {
		return true
	}
	if candidate.Probe {
		c.records[j].StartProbe()
		sh.optional = !anyUsable(c.candidates)
	}
	if first && candidate.Place == routing.OtherRegion {
		c.otherRegion++
	}
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

// send prepares an attempt for startChosen, and tells whether somebody pays for it.
func (c *call) send(i int, server *tables.Server, probe bool, p payment, now time.Time) bool {
	sh := &c.shards[i]
	through, ok := c.payer(server, p)
	if !ok {
		c.unpaid++
		return false
	}
	c.attempts++
	c.unproven++
	sh.attempts++
	sh.tried = append(sh.tried, server.Name())
	mergeWait, gathers := c.variant.gathers()
	q := &dispatch.QueryAttempt{
		Server:    server,
		Rank:      c.req.Rank,
		Probe:     probe,
		Gather:    p.paid && gathers && (sh.attempts == 1 || elsewhere(sh.pending, server)),
		MergeWait: mergeWait,
		Through:   through,
		Charge:    p.lent,
		Request:   c.subRequest(sh),
		Done:      func(q *dispatch.QueryAttempt, r backend.QueryResult) { c.onEnd(i, q, r) },
	}
	sh.hedgeAt = c.variant.hedgeTime(server, now)
	if sh.attempts == 1 && c.req.Rank != model.RankDeferred && !sh.hedgeAt.IsZero() && len(c.records) > 1 {
		// A first attempt that waits for longer than a hedge would moves to another replica; later ones stay.
		q.BounceAfter = sh.hedgeAt.Sub(now)
	}
	sh.pending = append(sh.pending, q)
	c.chosen = append(c.chosen, q)
	return true
}

// payer returns the daemon that sends an attempt at a server since it pays for it, none if this daemon has paid, or false if
// there is nobody to pay.
func (c *call) payer(server *tables.Server, p payment) (model.Member, bool) {
	if p.paid {
		return model.Member{}, true
	}
	return c.searcher.Dispatcher.Lender(server.Spec().Zone, c.id)
}

// elsewhere tells whether a server is in another zone than those of the attempts under way, so that the daemons there, which
// keep connections to it, are not what holds these attempts up.
func elsewhere(pending []*dispatch.QueryAttempt, server *tables.Server) bool {
	zone := server.Spec().Zone
	return len(pending) > 0 && !slices.ContainsFunc(pending, func(q *dispatch.QueryAttempt) bool {
		return q.Server.Spec().Zone == zone
	})
}

func (c *call) subRequest(sh *shardState) backend.QueryRequest {
	r := c.variant.request(sh)
	r.ID = backend.AttemptID{Request: c.id, Incarnation: c.searcher.Incarnation, Attempt: c.attempts}
	r.Shard = sh.shard.Name
	r.Deadline = c.req.Deadline
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
	if r.Status.ProvablyNotRun() {
		c.unproven--
	}
	if c.ended {
		c.releaseIfIdle()
		return
	}
	c.variant.onResult(i, q, r, now)
	c.variant.evaluate(now)
}

// retry sends a failed sub-request to another replica if the rules and the budget allow it.
func (c *call) retry(i int, now time.Time) {
	if !c.mayResend(i) {
		return
	}
	sh := &c.shards[i]
	p := c.variant.spendRetry(sh, now)
	if !p.possible() {
		c.unpaid++
		return
	}
	c.searcher.Dispatcher.Metrics().Retry(c.variant.service(sh))
	c.sendAgain(i, p, now)
}

// resend sends a sub-request that cost its server nothing to another replica if the rules allow it.
func (c *call) resend(i int, now time.Time) {
	if c.mayResend(i) {
		c.sendAgain(i, free, now)
	}
}

// sendAgain prefers a replica that was not tried; once all were, any of them may have recovered.
func (c *call) sendAgain(i int, p payment, now time.Time) {
	if !c.sendTo(i, p, now) {
		c.shards[i].tried = nil
		c.sendTo(i, p, now)
	}
	c.startChosen(now)
}

func (c *call) mayResend(i int) bool {
	sh := &c.shards[i]
	if len(sh.pending) > 0 || sh.answers(sh.want) {
		return false
	}
	return sh.attempts < c.variant.maxAttempts()
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
		c.cancelPending(&c.shards[i], func(*dispatch.QueryAttempt) bool { return true })
	}
	c.releaseIfIdle()
	close(c.done)
}

// cancelPending cancels the selected attempts of a shard and forgets those that were withdrawn.
func (c *call) cancelPending(sh *shardState, selected func(*dispatch.QueryAttempt) bool) {
	sh.pending = slices.DeleteFunc(sh.pending, func(q *dispatch.QueryAttempt) bool {
		if !selected(q) || !q.Cancel() {
			return false
		}
		if !q.Forwarded() {
			c.unproven--
		}
		return true
	})
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
