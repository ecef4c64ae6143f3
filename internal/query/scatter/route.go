package scatter

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
)

// RouteRequest is an idempotent request that is passed on to one server of each shard. Its Topology is pinned for the whole
// answer.
type RouteRequest struct {
	Route    *model.Route
	Topology *model.Topology
	// Shards are those that the answer is gathered from.
	Shards  []*model.Shard
	Message *backend.Message
	// Arrived is when the request was received.
	Arrived time.Time
	// Deadline is when the caller no longer waits.
	Deadline time.Time
}

// RouteAnswer is the end of a request of a route.
type RouteAnswer struct {
	// Outcome is OutcomeComplete, OutcomePartial, OutcomeNotRun (no server ran it, and none will), or OutcomeFailed.
	Outcome model.Outcome
	// Replies are the servers' successful answers: one for each shard that is covered, or one for several.
	Replies []*backend.MessageReply
	// Failure is an answer with which a server failed, set only if the outcome is OutcomeFailed and there was one.
	Failure *backend.MessageReply
	// Missing counts the shards that are not covered.
	Missing int
	// Late tells that the deadline passed or the caller left before there was an answer.
	Late bool
}

// routeState is what a call knows about a request of a route besides its shards.
type routeState struct {
	route   *model.Route
	message *backend.Message
	arrived time.Time
	// due is when an answer that covers enough is given although shards are open.
	due      time.Time
	dueTimer *pool.Entry
	failure  *backend.MessageReply
	// mayHaveRun tells that an attempt ended without a proof that its server did not run it.
	mayHaveRun bool
	hedges     int
	retries    int
	// refusals counts the extra attempts that the budget did not allow.
	refusals int
}

// Pass gathers the answer to a request of a route, and returns when it is given, or when ctx ends, whichever is first.
func (s *Searcher) Pass(ctx context.Context, req RouteRequest) RouteAnswer {
	c := newCallOver(s, model.RequestID(req.Message.ID), Request{
		Rank: req.Route.Rank, Topology: req.Topology, Deadline: req.Deadline,
	}, req.Shards)
	c.route = &routeState{
		route: req.Route, message: req.Message, arrived: req.Arrived, due: gather.Due(req.Arrived, req.Route.Target),
	}
	c.runUntilEnd(ctx)
	left := ctx.Err() != nil
	a := c.finishRoute()
	c.logAnswer(&req, &a, left)
	s.Dispatcher.Metrics().RouteRequest(req.Route.Name, a.Outcome, a.Missing, time.Since(req.Arrived))
	return a
}

// scheduleDue has the answer looked at when it is due.
func (c *call) scheduleDue() {
	if c.route != nil && c.route.due.Before(c.req.Deadline) {
		c.route.dueTimer = c.searcher.Dispatcher.Timer.Schedule(c.route.due, c.onDue)
	}
}

func (c *call) onDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.evaluateRoute(time.Now())
	}
}

// maxUnsent bounds the attempts of a shard that end before they are sent.
const maxUnsent = 3

// evaluateRoute ends the call unless a reply that is still to come is worth waiting for.
func (c *call) evaluateRoute(now time.Time) {
	if gather.Decide(c.gathered(), now) != gather.Wait {
		c.endLocked()
	}
}

// gathered sums up the shards for the decision.
func (c *call) gathered() gather.State {
	s := gather.State{Shards: len(c.shards), MinCoverage: c.route.minCoverage(), Due: c.route.due}
	for i := range c.shards {
		switch sh := &c.shards[i]; {
		case sh.message != nil:
			s.Answered++
		case len(sh.pending) > 0:
			s.Open++
		}
	}
	return s
}

// postponed returns a later time for hedges that are due now, or zero if they are to be sent.
func (c *call) postponed(now time.Time) time.Time {
	if c.route == nil {
		return time.Time{}
	}
	g := c.gathered()
	return gather.Postpone(g.Shards, g.Open, c.route.arrived, c.route.route.Target, now)
}

// gathers tells whether the call is for a route over an index.
func (c *call) gathers() bool { return c.route != nil && c.route.route.Index != nil }

// minCoverage is the share of the shards that an answer needs; a route to one service needs it.
func (r *routeState) minCoverage() float64 {
	if r.route.Index == nil {
		return 1
	}
	return r.route.Index.MinCoverage
}

// onRouteEnd takes the result of one attempt of a message.
func (c *call) onRouteEnd(i int, q *dispatch.QueryAttempt, r backend.QueryResult, now time.Time) {
	sh := &c.shards[i]
	if r.Status == backend.StatusOK && c.accept(sh, r.Reply.Message) {
		sh.cancelPending(func(*dispatch.QueryAttempt) bool { return true })
		c.evaluateRoute(now)
		return
	}
	c.route.noteFailure(r)
	c.logAttempt(i, q, r.Status, now)
	switch r.Status {
	case backend.StatusUnreachable, backend.StatusBusy:
		// Nothing arrived at a server, so that another attempt needs no budget and the route allows as many as before.
		if sh.unsent < maxUnsent {
			sh.attempts--
			sh.unsent++
		}
		c.resend(i, now)
	case backend.StatusCancelled, backend.StatusDeadlinePassed:
	default:
		c.retry(i, now)
	}
	c.evaluateRoute(now)
}

// accept takes a server's answer, and tells whether it can be part of the caller's. The answer of the only server is passed
// on whatever it is; one of many has to be a success.
func (c *call) accept(sh *shardState, m *backend.MessageReply) bool {
	if c.route.route.Index != nil && !m.Successful() {
		return false
	}
	if len(m.Shards) > 0 {
		return c.acceptMerged(m)
	}
	if sh.message == nil {
		sh.message = m
	}
	return true
}

// acceptMerged takes a reply that was merged from those of several shards. It cannot be taken apart, so that it takes the
// place of their single replies, and is dropped if one of them is part of another merged reply.
func (c *call) acceptMerged(m *backend.MessageReply) bool {
	covered := make([]*shardState, 0, len(m.Shards))
	for _, name := range m.Shards {
		i := slices.IndexFunc(c.shards, func(s shardState) bool { return s.shard.Name == name })
		if i < 0 {
			return false
		}
		held := c.shards[i].message
		if held != nil && held != m && len(held.Shards) > 0 {
			return false
		}
		covered = append(covered, &c.shards[i])
	}
	for _, s := range covered {
		s.message = m
	}
	return true
}

func (r *routeState) noteFailure(result backend.QueryResult) {
	if m := result.Reply.Message; m != nil {
		r.failure = m
	}
	if !result.Status.ProvablyNotRun() {
		r.mayHaveRun = true
	}
}

// finishRoute ends the call and builds the answer from the replies.
func (c *call) finishRoute() RouteAnswer {
	pending := c.endRoute()
	c.mu.Lock()
	defer c.mu.Unlock()
	var a RouteAnswer
	covered := 0
	for i := range c.shards {
		m := c.shards[i].message
		if m == nil {
			continue
		}
		covered++
		// A merged reply covers several shards.
		if !slices.Contains(a.Replies, m) {
			a.Replies = append(a.Replies, m)
		}
	}
	a.Missing = len(c.shards) - covered
	switch {
	case a.Missing == 0:
		a.Outcome = model.OutcomeComplete
	case covered >= gather.Needed(len(c.shards), c.route.minCoverage()):
		a.Outcome = model.OutcomePartial
	case covered == 0 && !pending && !c.route.mayHaveRun:
		a.Outcome = model.OutcomeNotRun
	default:
		a.Outcome = model.OutcomeFailed
		a.Failure = c.route.failure
		a.Late = pending
	}
	return a
}

// endRoute ends the call and its timers, and tells whether attempts were under way.
func (c *call) endRoute() (pending bool) {
	c.mu.Lock()
	for i := range c.shards {
		pending = pending || (c.shards[i].message == nil && len(c.shards[i].pending) > 0)
	}
	c.endLocked()
	entries := []*pool.Entry{c.deadline, c.hedge, c.route.dueTimer}
	c.mu.Unlock()
	for _, e := range entries {
		if e != nil {
			c.searcher.Dispatcher.Timer.Cancel(e)
		}
	}
	return pending
}

// logAttempt logs an attempt that ended without an answer.
func (c *call) logAttempt(i int, q *dispatch.QueryAttempt, status backend.Status, now time.Time) {
	if status == backend.StatusCancelled {
		return
	}
	c.searcher.Log.Info().Str("id", c.route.message.ID).Str("service", string(c.serviceOf(i))).
		Str("server", string(q.Server.Name())).Int("attempt", c.shards[i].attempts).Str("status", status.String()).
		Dur("after", now.Sub(q.Started)).Msg("attempt_failed")
}

// logAnswer logs the end of a request with what decided it.
func (c *call) logAnswer(req *RouteRequest, a *RouteAnswer, left bool) {
	now := time.Now()
	event := c.searcher.Log.Info()
	if a.Outcome != model.OutcomeComplete {
		c.logMissing(event)
	}
	event.Str("id", req.Message.ID).Str("route", string(req.Route.Name)).
		Uint64("version", uint64(req.Topology.Routing.Version)).Uint64("topology", uint64(req.Topology.Revision)).
		Str("outcome", string(a.Outcome)).Int("shards", len(req.Shards)).Int("missing", a.Missing).
		Uint32("attempts", c.attempts).Int("hedges", c.route.hedges).Int("retries", c.route.retries).
		Int("budget_refused", c.route.refusals).Bool("caller_left", left).
		Dur("took", now.Sub(req.Arrived)).Dur("target", req.Route.Target).Dur("left", req.Deadline.Sub(now)).
		Msg("request_answered")
}

// maxLoggedShards bounds the missing shards that a log line names.
const maxLoggedShards = 5

func (c *call) logMissing(event *zerolog.Event) {
	var names []string
	for i := range c.shards {
		if c.shards[i].message == nil && len(names) < maxLoggedShards {
			names = append(names, string(c.shards[i].shard.Name))
		}
	}
	event.Strs("missing_services", names)
}
