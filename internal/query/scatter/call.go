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
	// answerMargin is the time reserved before the caller's deadline for merging and sending a partial answer.
	answerMargin = 5 * time.Millisecond
	// cancelGrace is how long after the caller's deadline servers may take to end attempts.
	cancelGrace = 50 * time.Millisecond
)

// call is the state of one scatter-gather. Workers, the timer and the request's goroutine share it; mu guards it.
type call struct {
	searcher *Searcher
	id       model.RequestID
	req      Request
	// policy is nil for a query of the search API.
	policy  *model.RequestPolicy
	rng     *rand.Rand
	variant variant

	mu             lockorder.Mutex
	ctx            context.Context //nolint:containedctx // the lifetime of the attempts that the call starts
	cancelAttempts context.CancelFunc
	shards         []shardState
	attempts       uint32
	// otherRegion counts the first attempts at servers in another region.
	otherRegion int
	// extra is set if another daemon may have sent attempts for the request: the first attempts are then extra ones too.
	extra bool
	// restrict is set if another daemon may send attempts too. Both then use the same replicas of each shard, as many as
	// attempts are allowed.
	restrict bool
	// possiblyRun counts the attempts that may have run on a server: those without proof that they did not.
	possiblyRun int
	// budgetRefused counts the extra attempts that were not sent because no budget covered them.
	budgetRefused int

	ended         bool
	deadlineTimer *pool.TimerEntry
	hedgeTimer    *pool.TimerEntry
	done          chan struct{}

	candidates []routing.Candidate
	records    []*tables.Server
	// prepared holds the attempts that startPrepared has yet to start. It is empty whenever the lock is free and whenever
	// attempts are cancelled.
	prepared []*dispatch.QueryAttempt
}

// newCall returns a call without a variant; the caller sets it.
func newCall(s *Searcher, id model.RequestID, req Request, shards []*model.Shard) *call {
	c := &call{
		searcher: s,
		id:       id,
		req:      req,
		rng:      s.Dispatcher.Rand(),
		mu:       lockorder.New(tables.OrderCall),
		shards:   make([]shardState, len(shards)),
		done:     make(chan struct{}),
	}
	for i, sh := range shards {
		c.shards[i].shard = sh
	}
	return c
}

// runUntilEnd starts the attempts and waits until the call has ended or ctx is done.
func (c *call) runUntilEnd(ctx context.Context) {
	c.startAttempts(ctx)
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

// startAttempts starts the attempts of a caller's request.
func (c *call) startAttempts(ctx context.Context) {
	// Attempts outlive the caller's context, so that they are cancelled on the server by a message and not by closing
	// their connections; the deadline bounds them.
	attemptsCtx, cancelAttempts := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(cancelGrace))
	c.start(attemptsCtx, cancelAttempts)
}

func (c *call) start(ctx context.Context, cancelAttempts context.CancelFunc) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx, c.cancelAttempts = ctx, cancelAttempts
	want := c.variant.wantedVersion(now)
	for i := range c.shards {
		c.shards[i].wantVersion = want
		charge := localCharge
		if c.extra {
			charge = c.variant.spendRetry(&c.shards[i], now)
		} else {
			c.variant.countRequest(&c.shards[i], now)
		}
		if charge.allowed() {
			c.prepareOnBestReplica(i, charge, now)
		}
	}
	if !c.variant.mayStart() {
		c.dropPrepared()
	}
	c.startPrepared(now)
	timer := c.searcher.Dispatcher.Timer
	c.deadlineTimer = timer.Schedule(c.req.Deadline.Add(-answerMargin), c.end)
	c.variant.onStarted()
	c.scheduleHedge()
	c.variant.evaluate(now)
}

// prepareOnBestReplica prepares an attempt of shard i at the best replica that was not tried yet, and reports whether there
// is such a replica. It returns true also if no budget covers the attempt.
func (c *call) prepareOnBestReplica(i int, charge budgetCharge, now time.Time) bool {
	sh := &c.shards[i]
	c.loadCandidates(sh, now)
	j, ok := c.searcher.Dispatcher.Choose(c.candidates, c.rng)
	if !ok {
		return false
	}
	candidate := &c.candidates[j]
	first := sh.attempts == 0
	if !c.prepareAttempt(i, c.records[j], candidate.Probe, charge, now) {
		return true
	}
	if candidate.Probe {
		c.records[j].StartProbe()
		sh.optional = !anyUsable(c.candidates)
	}
	if first && candidate.Locality == routing.OtherRegion {
		c.otherRegion++
	}
	return true
}

// loadCandidates sets c.candidates and c.records to the replicas of a shard.
func (c *call) loadCandidates(sh *shardState, now time.Time) {
	criteria := dispatch.SelectionCriteria{Shard: sh.shard, Rank: c.req.Rank, Regions: c.regions(), Tried: sh.tried}
	c.candidates, c.records = c.searcher.Dispatcher.Candidates(c.candidates, c.records, criteria, now)
	if c.restrict {
		routing.Restrict(c.candidates, string(c.id), c.variant.maxAttempts())
	}
}

// regions returns the regions in which the request may be served; nil means all.
func (c *call) regions() model.Regions {
	if c.policy == nil {
		return nil
	}
	return c.policy.Regions
}

func anyUsable(cs []routing.Candidate) bool {
	return slices.ContainsFunc(cs, func(c routing.Candidate) bool { return c.Usable })
}

// prepareAttempt prepares an attempt for startPrepared, and reports whether a budget covers it.
func (c *call) prepareAttempt(i int, server *tables.Server, probe bool, charge budgetCharge, now time.Time) bool {
	sh := &c.shards[i]
	through, ok := c.remoteSender(server, charge)
	if !ok {
		c.budgetRefused++
		return false
	}
	c.attempts++
	c.possiblyRun++
	sh.attempts++
	sh.tried = append(sh.tried, server.Name())
	q := &dispatch.QueryAttempt{
		Server:    server,
		Rank:      c.req.Rank,
		Policy:    c.policy,
		Probe:     probe,
		Gather:    charge.local && c.variant.sendsRemotely(server) && (sh.attempts == 1 || inOtherZone(sh.pending, server)),
		MergeWait: c.variant.mergeWait(),
		TrimTo:    c.variant.maxRecords(),
		ForwardTo: through,
		Charge:    charge.remoteFraction,
		Request:   c.subRequest(sh),
		Done:      func(q *dispatch.QueryAttempt, r backend.QueryResult) { c.onAttemptEnd(i, q, r) },
	}
	sh.hedgeAt = c.variant.hedgeTime(server, c.secondCost(server), now)
	if sh.attempts == 1 && c.req.Rank != model.RankDeferred && !sh.hedgeAt.IsZero() && len(c.records) > 1 {
		// A first attempt that waits for capacity at its server for longer than the hedge delay ends and is sent to another
		// replica; later attempts keep waiting.
		q.BounceAfter = sh.hedgeAt.Sub(now)
	}
	sh.pending = append(sh.pending, q)
	c.prepared = append(c.prepared, q)
	return true
}

// secondCost returns the expected time of an attempt at the best of the loaded candidates other than the given server, or 0 if
// none is usable.
func (c *call) secondCost(server *tables.Server) time.Duration {
	best := time.Duration(0)
	for i := range c.candidates {
		if !c.candidates[i].Usable || c.records[i] == server {
			continue
		}
		if cost := c.candidates[i].Cost(); best == 0 || cost < best {
			best = cost
		}
	}
	return best
}

// remoteSender returns the daemon that sends an attempt at a server and charges it to its own budget, or the zero Member if
// no other daemon is charged. It returns false if another daemon would have to be charged and there is none.
func (c *call) remoteSender(server *tables.Server, charge budgetCharge) (model.Member, bool) {
	if charge.local {
		return model.Member{}, true
	}
	return c.searcher.Dispatcher.DaemonToCharge(server, c.id, c.policy)
}

// inOtherZone reports whether there are pending attempts and none of them is in the server's zone. The daemons in that zone,
// which keep connections to the server, are then not the cause of the delay.
func inOtherZone(pending []*dispatch.QueryAttempt, server *tables.Server) bool {
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

// startPrepared starts the prepared attempts together, so that attempts with the same owner share batches.
func (c *call) startPrepared(now time.Time) {
	c.searcher.Dispatcher.StartQueries(c.ctx, c.prepared, now)
	clear(c.prepared)
	c.prepared = c.prepared[:0]
}

// dropPrepared withdraws the prepared attempts.
func (c *call) dropPrepared() {
	for _, q := range c.prepared {
		if q.Probe {
			q.Server.EndProbe()
		}
		c.possiblyRun--
	}
	for i := range c.shards {
		sh := &c.shards[i]
		sh.pending = slices.DeleteFunc(sh.pending, func(q *dispatch.QueryAttempt) bool { return slices.Contains(c.prepared, q) })
	}
	clear(c.prepared)
	c.prepared = c.prepared[:0]
}

// onAttemptEnd handles the result of one attempt.
func (c *call) onAttemptEnd(i int, q *dispatch.QueryAttempt, r backend.QueryResult) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	sh := &c.shards[i]
	sh.removePending(q)
	if r.Status.ProvablyNotRun() {
		c.possiblyRun--
	}
	if c.ended {
		c.cancelContextIfIdle()
		return
	}
	c.variant.onResult(i, q, r, now)
	c.variant.evaluate(now)
}

// retry sends a failed sub-request to another replica if the attempt limit and the budget allow it.
func (c *call) retry(i int, now time.Time) {
	if !c.mayResend(i) {
		return
	}
	sh := &c.shards[i]
	charge := c.variant.spendRetry(sh, now)
	if !charge.allowed() {
		c.budgetRefused++
		return
	}
	c.variant.onRetried()
	c.searcher.Dispatcher.Metrics().Retry(c.variant.service(sh))
	c.sendToAnotherReplica(i, charge, now)
}

// resend sends a sub-request to another replica if the attempt limit allows it, without a charge to a budget. It is used if
// the previous attempt cost its server nothing, or if the daemon that owns the server was lost.
func (c *call) resend(i int, now time.Time) {
	if c.mayResend(i) {
		c.sendToAnotherReplica(i, localCharge, now)
	}
}

// sendToAnotherReplica prefers replicas that were not tried. Once all were, it starts over, since any may have recovered.
func (c *call) sendToAnotherReplica(i int, charge budgetCharge, now time.Time) {
	if !c.prepareOnBestReplica(i, charge, now) {
		c.shards[i].tried = nil
		c.prepareOnBestReplica(i, charge, now)
	}
	c.startPrepared(now)
}

func (c *call) mayResend(i int) bool {
	sh := &c.shards[i]
	if len(sh.pending) > 0 || sh.hasReply(sh.wantVersion) || !c.searcher.Dispatcher.Permits(c.policy) {
		return false
	}
	return sh.attempts < c.variant.maxAttempts()
}

// end ends the call with the replies received so far; the timer calls it shortly before the deadline.
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
	c.cancelContextIfIdle()
	close(c.done)
}

// cancelPending cancels the selected attempts of a shard and removes those that were withdrawn before they were sent.
func (c *call) cancelPending(sh *shardState, selected func(*dispatch.QueryAttempt) bool) {
	sh.pending = slices.DeleteFunc(sh.pending, func(q *dispatch.QueryAttempt) bool {
		if !selected(q) || !q.Cancel() {
			return false
		}
		if !q.Forwarded() {
			c.possiblyRun--
		}
		return true
	})
}

// cancelContextIfIdle cancels the attempts' context, to free its resources, once no attempt is pending.
func (c *call) cancelContextIfIdle() {
	for i := range c.shards {
		if len(c.shards[i].pending) > 0 {
			return
		}
	}
	c.cancelAttempts()
}
