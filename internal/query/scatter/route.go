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
	// Arrived is when the request was received, and Path how it came.
	Arrived    time.Time
	CallerPath gather.CallerPath
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
	// MissingShards counts the shards that are not covered.
	MissingShards int
	// ReadyAt is when the answer was complete, or due with what was in hand.
	ReadyAt time.Time
	// Late tells that the deadline passed or the caller left before there was an answer.
	Late bool
}

// routeCall is the call of a request of a route: its answer is given when the rest is not worth waiting for.
type routeCall struct {
	*call
	route   *model.Route
	message *backend.Message
	arrived time.Time
	// due is when an answer that covers enough is given although shards are open, with lag left for writing it.
	due time.Time
	lag time.Duration
	// ready is when what came in or the time that passed ended the call; zero if the deadline or the caller ended it.
	ready    time.Time
	dueTimer *pool.Entry
	failure  *backend.MessageReply
	hedges   int
	retries  int
	// firstHedge and lastHedge are when the first and the last hedge were sent; zero without one.
	firstHedge time.Time
	lastHedge  time.Time
	// lent counts the extra attempts that another daemon was asked to pay for.
	lent int
}

// ServeRoute gathers the answer to a request of a route, and returns when it is given, or when ctx ends, whichever is first.
func (s *Searcher) ServeRoute(ctx context.Context, req RouteRequest) RouteAnswer {
	lag := s.Dispatcher.AnswerLag.Bound()
	c := &routeCall{
		call: newCall(s, model.RequestID(req.Message.ID), Request{
			Rank: req.Route.Rank, Topology: req.Topology, Deadline: req.Deadline,
		}, req.Shards),
		route: req.Route, message: req.Message, arrived: req.Arrived,
		due: gather.Due(req.Arrived, req.Route.Target, req.CallerPath, lag), lag: lag,
	}
	c.variant = c
	c.runUntilEnd(ctx)
	left := ctx.Err() != nil
	a := c.finish()
	c.logAnswer(&req, &a, left)
	s.Dispatcher.Metrics().RouteRequest(req.Route.Name, a.Outcome, a.MissingShards, time.Since(req.Arrived))
	return a
}

// begin has the answer looked at when it is due.
func (c *routeCall) begin() {
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

// ObserveAnswerWritten records that an answer over many shards was handed to the network, from which later answers learn when they are
// due.
func (s *Searcher) ObserveAnswerWritten(a *RouteAnswer) {
	if !a.ReadyAt.IsZero() {
		s.Dispatcher.AnswerLag.Observe(time.Since(a.ReadyAt))
	}
}

// maxUnsent bounds the attempts of a shard that end before they are sent.
const maxUnsent = 3

// evaluate ends the call unless a reply that is still to come is worth waiting for.
func (c *routeCall) evaluate(now time.Time) {
	if gather.Decide(c.gathered(), now) != gather.Wait {
		c.ready = now
		c.endLocked()
	}
}

// gathered sums up the shards for the decision.
func (c *routeCall) gathered() gather.State {
	s := gather.State{Shards: len(c.shards), MinCoverage: c.minCoverage(), Due: c.due}
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

// minCoverage is the share of the shards that an answer needs; a route to one service needs it.
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
	c.noteFailure(r)
	c.logAttempt(i, q, r.Status, now)
	switch r.Status {
	case backend.StatusUnreachable, backend.StatusBusy:
		// Nothing arrived at a server, so that another attempt needs no budget and the route allows as many as before.
		if sh.unsent < maxUnsent {
			sh.attempts--
			sh.unsent++
		}
		c.resend(i, now)
	case backend.StatusOverBudget:
		sh.attempts--
		c.unpaid++
	case backend.StatusCancelled, backend.StatusDeadlinePassed:
	default:
		c.retry(i, now)
	}
}

// accept takes a server's answer, and tells whether it can be part of the caller's. The answer of the only server is passed
// on whatever it is; one of many has to be a success.
func (c *routeCall) accept(sh *shardState, m *backend.MessageReply) bool {
	if c.route.Index != nil && !m.Successful() {
		return false
	}
	if len(m.Shards) > 0 {
		// Each of the shards has a result with the same reply.
		return sh.message == m || c.acceptMerged(m)
	}
	if sh.message == nil {
		sh.message = m
	}
	return true
}

// acceptMerged takes a reply that was merged from those of several shards. It cannot be taken apart, so that it takes the
// place of their single replies, and is dropped if one of them is part of another merged reply.
func (c *routeCall) acceptMerged(m *backend.MessageReply) bool {
	covered := make([]*shardState, 0, len(m.Shards))
	for _, name := range m.Shards {
		sh := c.shardNamed(name)
		if sh == nil {
			return false
		}
		if held := sh.message; held != nil && held != m && len(held.Shards) > 0 {
			return false
		}
		covered = append(covered, sh)
	}
	for _, s := range covered {
		s.message = m
	}
	return true
}

// shardNamed returns the state of a shard, or nil if the request does not ask it.
func (c *routeCall) shardNamed(name model.ShardName) *shardState {
	for i := range c.shards {
		if c.shards[i].shard.Name == name {
			return &c.shards[i]
		}
	}
	return nil
}

func (c *routeCall) noteFailure(result backend.QueryResult) {
	if m := result.Reply.Message; m != nil {
		c.failure = m
	}
}

// finish ends the call and builds the answer from the replies.
func (c *routeCall) finish() RouteAnswer {
	pending := c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := RouteAnswer{ReadyAt: c.ready}
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
	a.MissingShards = len(c.shards) - covered
	switch {
	case a.MissingShards == 0:
		a.Outcome = model.OutcomeComplete
	case covered >= gather.Needed(len(c.shards), c.minCoverage()):
		a.Outcome = model.OutcomePartial
	case covered == 0 && c.unproven == 0:
		a.Outcome = model.OutcomeNotRun
	default:
		a.Outcome = model.OutcomeFailed
		a.Failure = c.failure
		a.Late = pending && c.ready.IsZero()
	}
	return a
}

// stop ends the call and its timers, and tells whether attempts were under way.
func (c *routeCall) stop() (pending bool) {
	c.mu.Lock()
	for i := range c.shards {
		pending = pending || (c.shards[i].message == nil && len(c.shards[i].pending) > 0)
	}
	c.endLocked()
	entries := []*pool.Entry{c.deadline, c.hedge, c.dueTimer}
	c.mu.Unlock()
	for _, e := range entries {
		if e != nil {
			c.searcher.Dispatcher.Timer.Cancel(e)
		}
	}
	return pending
}

// logAttempt logs an attempt that ended without an answer.
func (c *routeCall) logAttempt(i int, q *dispatch.QueryAttempt, status backend.Status, now time.Time) {
	if status == backend.StatusCancelled {
		return
	}
	c.searcher.Log.Info().Str("id", c.message.ID).Str("service", string(c.service(&c.shards[i]))).
		Str("server", string(q.Server.Name())).Int("attempt", c.shards[i].attempts).Str("status", status.String()).
		Dur("after", now.Sub(q.Started)).Msg("attempt_failed")
}

// logAnswer logs the end of a request with what decided it.
func (c *routeCall) logAnswer(req *RouteRequest, a *RouteAnswer, left bool) {
	now := time.Now()
	event := c.searcher.Log.Info()
	if a.Outcome != model.OutcomeComplete {
		c.logMissing(event)
	}
	if c.hedges > 0 {
		event.Dur("hedge_first", c.firstHedge.Sub(req.Arrived)).Dur("hedge_last", c.lastHedge.Sub(req.Arrived))
	}
	event.Str("id", req.Message.ID).Str("route", string(req.Route.Name)).
		Uint64("version", uint64(req.Topology.Routing.Version)).Uint64("topology", uint64(req.Topology.Revision)).
		Str("outcome", string(a.Outcome)).Int("shards", len(req.Shards)).Int("missing", a.MissingShards).
		Uint32("attempts", c.attempts).Int("hedges", c.hedges).Int("retries", c.retries).
		Int("lent", c.lent).Int("budget_refused", c.unpaid).Int("other_region", c.otherRegion).Bool("caller_left", left).
		Dur("took", now.Sub(req.Arrived)).Dur("due", c.due.Sub(req.Arrived)).Dur("lag", c.lag).Dur("target", req.Route.Target).
		Dur("caller_rtt", req.CallerPath.RoundTrip).Bool("caller_connected", req.CallerPath.Connected).Dur("left", req.Deadline.Sub(now)).
		Msg("request_answered")
}

// maxLoggedShards bounds the missing shards that a log line names.
const maxLoggedShards = 5

func (c *routeCall) logMissing(event *zerolog.Event) {
	var names []string
	hedged := 0
	for i := range c.shards {
		sh := &c.shards[i]
		if sh.message != nil {
			continue
		}
		if len(names) < maxLoggedShards {
			names = append(names, string(sh.shard.Name))
		}
		if sh.attempts > 1 {
			hedged++
		}
	}
	event.Strs("missing_services", names).Int("missing_hedged", hedged)
}
