package scatter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
)

// delegation is a request over an index whose answer another daemon of the zone gathers.
type delegation struct {
	searcher *Searcher
	req      *RouteRequest
	to       model.Member
	id       backend.AttemptID
	sentAt   time.Time
	due      time.Time
	// lag is the part of the target that is reserved for the way of the answer to the caller through this daemon.
	lag time.Duration
	// result receives the other daemon's result. lost is closed once the other daemon has to be assumed lost.
	result   chan forwarding.Result
	lost     chan struct{}
	lostOnce sync.Once
	timers   []*pool.TimerEntry
	// responded is set once the other daemon responded to the check.
	responded atomic.Bool
}

// delegate hands a request to another daemon of the zone, or returns nil if this daemon gathers the answer itself.
func (s *Searcher) delegate(req *RouteRequest) *delegation {
	if req.Route.Index == nil || req.delegated {
		return nil
	}
	to, ok := s.Dispatcher.Delegate(model.RequestID(req.Message.ID))
	if !ok {
		return nil
	}
	now := time.Now()
	lag := s.Dispatcher.AnswerLag.Bound() + s.Dispatcher.DelegationLag.Bound()
	d := &delegation{
		searcher: s, req: req, to: to, sentAt: now, lag: lag, due: gather.Due(req.Arrived, req.Route.Target, req.CallerPath, lag),
		id:     backend.AttemptID{Request: model.RequestID(req.Message.ID), Incarnation: s.Incarnation},
		result: make(chan forwarding.Result, 1), lost: make(chan struct{}),
	}
	query := forwarding.Query{
		Rank: req.Route.Rank, Left: req.Deadline.Sub(now),
		Request: backend.QueryRequest{ID: d.id, Message: req.Message, Deadline: req.Deadline},
		Gather: &forwarding.Gather{
			Route: req.Route.Name, Version: req.Topology.Routing.Version, Due: d.due, DueLeft: d.due.Sub(now),
		},
	}
	s.Dispatcher.StartDelegation(to, &query, func(r forwarding.Result) { d.result <- r })
	d.watch(now)
	return d
}

// watch checks the other daemon after a while, and closes lost if it does not respond.
func (d *delegation) watch(now time.Time) {
	timer := d.searcher.Dispatcher.Timer
	times := gather.TimeDelegation(d.due.Sub(now))
	d.timers = append(d.timers,
		timer.Schedule(now.Add(times.Check), func() {
			d.searcher.Dispatcher.CheckDaemon(d.to, d.req.Route.Rank, func() { d.responded.Store(true) })
		}),
		timer.Schedule(now.Add(times.GiveUp), func() {
			if !d.responded.Load() {
				d.searcher.Dispatcher.AvoidDaemon(d.to)
				d.giveUp()
			}
		}),
		timer.Schedule(now.Add(times.Overdue), d.giveUp),
	)
}

func (d *delegation) giveUp() { d.lostOnce.Do(func() { close(d.lost) }) }

// end cancels the timers, and the other daemon's work if its answer is not needed.
func (d *delegation) end(needed bool) {
	for _, e := range d.timers {
		d.searcher.Dispatcher.Timer.Cancel(e)
	}
	if !needed {
		d.searcher.Dispatcher.CancelDelegation(d.id)
	}
}

// wait returns the answer of the other daemon. If there is none, this daemon has to gather it, with extra set if the other
// daemon may have sent attempts.
func (d *delegation) wait(ctx context.Context) (a RouteAnswer, answered, extra bool) {
	select {
	case r := <-d.result:
		if a, ok := d.answer(&r); ok {
			d.end(true)
			return a, true, false
		}
		d.end(true)
		return a, false, !r.Result.Status.ProvablyNotRun()
	case <-d.lost:
		return a, false, true
	case <-ctx.Done():
		d.end(false)
		return RouteAnswer{Outcome: model.OutcomeFailed, MissingShards: len(d.req.Shards), Late: true}, true, false
	}
}

// logAnswer logs the result of a request whose answer the other daemon gathered.
func (d *delegation) logAnswer(a *RouteAnswer, callerLeft bool) {
	event := d.searcher.Log.Info().Str("gathered_by", string(d.to.Instance)).Dur("gathered_in", a.gatherTime)
	logRequest(event, d.req, a, d.due, d.lag, callerLeft)
}

// answer returns the answer in a result, or false if the other daemon did not gather one.
func (d *delegation) answer(r *forwarding.Result) (RouteAnswer, bool) {
	g := r.Gathered
	if g == nil {
		return RouteAnswer{}, false
	}
	now := time.Now()
	// What the other daemon works beyond the time when its answer is due counts as lag too.
	d.searcher.Dispatcher.DelegationLag.Observe(now.Sub(d.sentAt) - min(g.Took, d.due.Sub(d.sentAt)))
	a := RouteAnswer{
		Outcome: g.Outcome, MissingShards: g.MissingShards, Pushback: g.Pushback, Late: g.Late, ReadyAt: now, gatherTime: g.Took,
	}
	if m := r.Result.Reply.Message; m.Successful() {
		a.Replies = []*backend.MessageReply{m}
	}
	answered := a.Outcome == model.OutcomeComplete || a.Outcome == model.OutcomePartial
	return a, !answered || len(a.Replies) > 0
}

// GatherFor implements dispatch.Gatherer.
func (s *Searcher) GatherFor(ctx context.Context, q *forwarding.Query, arrived time.Time) forwarding.Result {
	t := s.Dispatcher.Config.Current()
	if t == nil || t.Routing == nil || t.Routing.Version != q.Gather.Version || q.Request.Message == nil {
		return forwarding.Result{Result: backend.QueryResult{Status: backend.StatusBusy}}
	}
	i := slices.IndexFunc(t.Routing.Routes, func(r model.Route) bool { return r.Name == q.Gather.Route && r.Index != nil })
	if i < 0 {
		return forwarding.Result{Result: backend.QueryResult{Status: backend.StatusBusy}}
	}
	route := &t.Routing.Routes[i]
	a := s.ServeRoute(ctx, RouteRequest{
		Route: route, Topology: t, Shards: s.Dispatcher.RouteShards(t, route), Message: q.Request.Message,
		Arrived: arrived, Deadline: q.Request.Deadline, delegated: true, due: arrived.Add(min(q.Gather.DueLeft, q.Left)),
	})
	r := forwarding.Result{Gathered: &forwarding.Gathered{
		Outcome: a.Outcome, MissingShards: a.MissingShards, Pushback: a.Pushback, Late: a.Late,
	}}
	if a.Outcome == model.OutcomeComplete || a.Outcome == model.OutcomePartial {
		r.Result.Reply.Message = mergeAnswer(&a, route.Index.Results)
	}
	r.Gathered.Took = time.Since(arrived)
	return r
}

// mergeAnswer merges the replies of an answer into one.
func mergeAnswer(a *RouteAnswer, results int) *backend.MessageReply {
	merged := &backend.MessageReply{StatusCode: http.StatusOK}
	bodies := make([][]byte, len(a.Replies))
	for i, m := range a.Replies {
		bodies[i] = m.Body
		merged.Signatures = append(merged.Signatures, m.Signatures...)
	}
	merged.Body = gather.MergeRecords(bodies, results)
	return merged
}
