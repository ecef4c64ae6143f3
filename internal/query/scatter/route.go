package scatter

import (
	"context"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
)

// RouteRequest is an idempotent request of a route, which is sent to one server of each shard. All attempts use the given
// Topology, even if a newer one is installed meanwhile.
type RouteRequest struct {
	Route    *model.Route
	Topology *model.Topology
	// Policy is the policy of the request under the Topology's routing configuration.
	Policy model.RequestPolicy
	// Shards are the shards that the answer is gathered from.
	Shards  []*model.Shard
	Message *backend.Message
	// Arrived is when the request was received, and CallerPath what is known about the network path to the caller.
	Arrived    time.Time
	CallerPath gather.CallerPath
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	// delegated is set if the answer is gathered for another daemon, which needs it at due.
	delegated bool
	due       time.Time
	// extra is set if another daemon may have sent attempts for the request, so that all attempts are extra ones.
	extra bool
}

// RouteAnswer is the result of a request of a route.
type RouteAnswer struct {
	// Outcome is OutcomeComplete, OutcomePartial, OutcomeNotRun (no server ran it, and none will), or OutcomeFailed.
	Outcome model.Outcome
	// Replies are the servers' replies that make up the answer: one for each covered shard, or a merged one for several
	// shards. If the route has an index, all of them are successful.
	Replies []*backend.MessageReply
	// Failure is the last reply of a server that failed. It is nil if there was none or the outcome is not OutcomeFailed.
	Failure *backend.MessageReply
	// Pushback, with OutcomeNotRun, is how long servers asked for no requests without which the answer is not possible; 0 if
	// the request was not run for another reason.
	Pushback time.Duration
	// MissingShards is the number of shards that the answer does not cover.
	MissingShards int
	// ReadyAt is when the replies or the due time decided the answer; zero if the deadline or the caller ended the request.
	ReadyAt time.Time
	// Late reports that the request failed because the deadline passed or the caller disconnected while attempts were
	// pending.
	Late bool

	// gatherTime is how long another daemon took to gather the answer, if this one did not.
	gatherTime time.Duration
}

// routeCall is the call for a request of a route. It ends once it need not wait for further replies.
type routeCall struct {
	*call
	route   *model.Route
	message *backend.Message
	arrived time.Time
	// due is when an answer with enough coverage is given although shards are pending. It leaves writeLag for writing the
	// answer.
	due      time.Time
	writeLag time.Duration
	// readyAt is when a result or the due time ended the call; zero if the deadline or the caller ended it.
	readyAt  time.Time
	dueTimer *pool.TimerEntry
	failure  *backend.MessageReply
	hedges   int
	retries  int
	// firstHedge and lastHedge are when the first and the last of the hedges were sent; zero without one.
	firstHedge time.Time
	lastHedge  time.Time
	// remoteCharges counts the extra attempts that this daemon's budget did not cover, to be charged to another daemon's.
	remoteCharges int
}

// ServeRoute gathers the answer to a request of a route, or has another daemon gather it. It returns when the answer is decided
// or ctx ends, whichever is first.
func (s *Searcher) ServeRoute(ctx context.Context, req RouteRequest) RouteAnswer {
	d := s.delegate(&req)
	if d == nil {
		return s.gather(ctx, &req, nil)
	}
	a, answered, extra := d.wait(ctx)
	if answered {
		d.logAnswer(&a, ctx.Err() != nil)
		s.countAnswer(&req, &a)
		return a
	}
	req.extra = extra
	return s.gather(ctx, &req, d)
}

// gather gathers an answer in this daemon. If other, which may be nil, answers meanwhile, that answer is taken.
func (s *Searcher) gather(ctx context.Context, req *RouteRequest, other *delegation) RouteAnswer {
	c := s.newRouteCall(req)
	var a RouteAnswer
	if other != nil && req.extra {
		a = c.runBeside(ctx, other)
	} else {
		c.runUntilEnd(ctx)
		a = c.finish()
	}
	c.logAnswer(req, &a, ctx.Err() != nil)
	if !req.delegated {
		s.countAnswer(req, &a)
	}
	return a
}

func (s *Searcher) countAnswer(req *RouteRequest, a *RouteAnswer) {
	s.Dispatcher.Metrics().RouteRequest(req.Route.Name, a.Outcome, a.MissingShards, time.Since(req.Arrived))
}

func (s *Searcher) newRouteCall(req *RouteRequest) *routeCall {
	writeLag := s.Dispatcher.AnswerLag.Bound()
	c := &routeCall{
		call: newCall(s, model.RequestID(req.Message.ID), Request{
			Rank: req.Policy.Rank, Topology: req.Topology, Deadline: req.Deadline,
		}, req.Shards),
		route: req.Route, message: req.Message, arrived: req.Arrived,
		due: gather.Due(req.Arrived, req.Route.Target, req.CallerPath, writeLag), writeLag: writeLag,
	}
	if req.delegated {
		c.due, c.writeLag = req.due, 0
	}
	if req.extra {
		c.due = gather.ExtendDue(c.due, c.due.Sub(req.Arrived), time.Now())
	}
	c.policy = &req.Policy
	c.extra = req.extra
	c.restrict = req.extra || req.delegated
	c.variant = c
	return c
}

// runBeside gathers the answer while another daemon may still answer, and returns the answer that comes first.
func (c *routeCall) runBeside(ctx context.Context, other *delegation) RouteAnswer {
	defer other.cancel()
	c.startAttempts(ctx)
	otherFailed := false
	for {
		select {
		case <-c.done:
			a := c.finish()
			if a.answered() || otherFailed {
				return a
			}
			// The other daemon may have succeeded where this one had no budget for its attempts, which all count as extra ones.
			if r, ok := other.awaitResult(ctx, other.times.Overdue); ok {
				return other.answerOr(&r, a)
			}
			return a
		case r := <-other.result:
			if a := other.answerOr(&r, RouteAnswer{}); a.answered() {
				c.finish()
				return a
			}
			otherFailed = true
		case <-ctx.Done():
			return c.finish()
		}
	}
}

// answered reports whether the answer has replies to return to the caller as a success.
func (a *RouteAnswer) answered() bool {
	return len(a.Replies) > 0 && (a.Outcome == model.OutcomeComplete || a.Outcome == model.OutcomePartial)
}

// mayStart reports whether the configuration still permits the request and, if the request has home regions, whether there are
// attempts for enough shards. Without the latter, no attempt could lead to an answer.
func (c *routeCall) mayStart() bool {
	if !c.searcher.Dispatcher.Permits(c.policy) {
		return false
	}
	if c.policy.Regions == nil || c.extra {
		return true
	}
	return c.gatherState().Open >= gather.RequiredShards(len(c.shards), c.minCoverage())
}

// onStarted schedules an evaluation for when the answer is due.
func (c *routeCall) onStarted() {
	if c.due.Before(c.req.Deadline) {
		c.dueTimer = c.searcher.Dispatcher.Timer.Schedule(c.due, c.onDue)
	}
}

func (c *routeCall) onDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.evaluate(c.due)
	}
}

// ObserveAnswerWritten records that an answer gathered from many shards was written to the network. The time that writing
// took determines when later answers are due.
func (s *Searcher) ObserveAnswerWritten(a *RouteAnswer) {
	if !a.ReadyAt.IsZero() {
		s.Dispatcher.AnswerLag.Observe(time.Since(a.ReadyAt))
	}
}

// evaluate ends the call unless it has to wait for further replies.
func (c *routeCall) evaluate(now time.Time) {
	if gather.Decide(c.gatherState(), now) != gather.Wait {
		c.readyAt = now
		c.endLocked()
	}
}

// gatherState returns the state of the shards as input for package gather.
func (c *routeCall) gatherState() gather.State {
	s := gather.State{Shards: len(c.shards), MinCoverage: c.minCoverage(), Due: c.due}
	for i := range c.shards {
		switch sh := &c.shards[i]; {
		case sh.messageReply != nil:
			s.Answered++
		case len(sh.pending) > 0:
			s.Open++
		}
	}
	return s
}

// minCoverage returns the fraction of the shards that an answer needs; a route without an index needs its only shard.
func (c *routeCall) minCoverage() float64 {
	if c.route.Index == nil {
		return 1
	}
	return c.route.Index.MinCoverage
}

func (c *routeCall) onResult(i int, q *dispatch.QueryAttempt, r backend.QueryResult, now time.Time) {
	sh := &c.shards[i]
	if r.Status == backend.StatusOK && c.accept(sh, r.Reply.Message) {
		c.cancelPending(sh, func(*dispatch.QueryAttempt) bool { return true })
		return
	}
	c.recordFailure(r)
	c.logAttempt(i, q, r.Status, now)
	switch r.Status {
	case backend.StatusUnreachable, backend.StatusBusy:
		// No server received the attempt, so another one needs no budget.
		if sh.unsent.Waive() {
			sh.attempts--
		}
		c.resend(i, now)
	case backend.StatusOverBudget:
		sh.attempts--
		c.budgetRefused++
	case backend.StatusCancelled, backend.StatusDeadlinePassed:
	default:
		c.retry(i, now)
	}
}

// accept records a server's reply, and reports whether it can be part of the answer. A route without an index returns any
// reply of its only shard unchanged; with an index, a reply must be successful.
func (c *routeCall) accept(sh *shardState, m *backend.MessageReply) bool {
	if c.route.Index != nil && !m.Successful() {
		return false
	}
	if len(m.Shards) > 0 {
		// The same merged reply comes as the result of each of its shards.
		return sh.messageReply == m || c.acceptMerged(m)
	}
	if sh.messageReply == nil {
		sh.messageReply = m
	}
	return true
}

// acceptMerged records a reply that was merged from those of several shards. A merged reply cannot be split: it replaces
// the single replies of its shards, and is dropped if one of its shards is part of another merged reply or not requested.
func (c *routeCall) acceptMerged(m *backend.MessageReply) bool {
	covered := make([]*shardState, 0, len(m.Shards))
	for _, name := range m.Shards {
		sh := c.shardByName(name)
		if sh == nil {
			return false
		}
		if existing := sh.messageReply; existing != nil && existing != m && len(existing.Shards) > 0 {
			return false
		}
		covered = append(covered, sh)
	}
	for _, s := range covered {
		s.messageReply = m
	}
	return true
}

// shardByName returns the state of a shard, or nil if the shard is not requested.
func (c *routeCall) shardByName(name model.ShardName) *shardState {
	for i := range c.shards {
		if c.shards[i].shard.Name == name {
			return &c.shards[i]
		}
	}
	return nil
}

func (c *routeCall) recordFailure(result backend.QueryResult) {
	if m := result.Reply.Message; m != nil {
		c.failure = m
	}
}

// finish ends the call and builds the answer from the replies.
func (c *routeCall) finish() RouteAnswer {
	pending := c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := RouteAnswer{ReadyAt: c.readyAt}
	covered := 0
	for i := range c.shards {
		m := c.shards[i].messageReply
		if m == nil {
			continue
		}
		covered++
		// A merged reply covers several shards.
		if !slices.Contains(a.Replies, m) {
			a.Replies = append(a.Replies, m)
		}
	}
	a.MissingShards = len(c.shards) - covered
	switch {
	case a.MissingShards == 0:
		a.Outcome = model.OutcomeComplete
	case covered >= gather.RequiredShards(len(c.shards), c.minCoverage()):
		a.Outcome = model.OutcomePartial
	case covered == 0 && c.possiblyRun == 0 && !c.extra:
		a.Outcome = model.OutcomeNotRun
		required := gather.RequiredShards(len(c.shards), c.minCoverage())
		a.Pushback, _ = c.searcher.Dispatcher.PushbackUntil(c.shardList(), c.regions(), required, time.Now())
	default:
		a.Outcome = model.OutcomeFailed
		a.Failure = c.failure
		a.Late = pending && c.readyAt.IsZero()
	}
	return a
}

func (c *routeCall) shardList() []*model.Shard {
	out := make([]*model.Shard, len(c.shards))
	for i := range c.shards {
		out[i] = c.shards[i].shard
	}
	return out
}

// stop ends the call, cancels its timers, and reports whether a shard without a reply had pending attempts.
func (c *routeCall) stop() (pending bool) {
	c.mu.Lock()
	for i := range c.shards {
		pending = pending || (c.shards[i].messageReply == nil && len(c.shards[i].pending) > 0)
	}
	c.endLocked()
	entries := []*pool.TimerEntry{c.deadlineTimer, c.hedgeTimer, c.dueTimer}
	c.mu.Unlock()
	for _, e := range entries {
		if e != nil {
			c.searcher.Dispatcher.Timer.Cancel(e)
		}
	}
	return pending
}
