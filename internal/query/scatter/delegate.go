package scatter

import (
	"context"
	"net/http"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
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
	lag   time.Duration
	times gather.DelegationTimes
	// result receives the other daemon's result, and progress whether it says that it still works on the answer.
	result   chan forwarding.Result
	progress chan bool
}

// delegate hands a request to another daemon of the zone, or returns nil if this daemon gathers the answer itself.
func (s *Searcher) delegate(req *RouteRequest) *delegation {
	if req.Route.Index == nil || req.delegated {
		return nil
	}
	to, ok := s.Dispatcher.Delegate(model.RequestID(req.Message.ID), &req.Policy)
	if !ok || !s.Dispatcher.Permits(&req.Policy) {
		return nil
	}
	now := time.Now()
	lag := s.Dispatcher.AnswerLag.Bound() + s.Dispatcher.DelegationLag.Bound()
	d := &delegation{
		searcher: s, req: req, to: to, sentAt: now, lag: lag, due: gather.Due(req.Arrived, req.Route.Target, req.CallerPath, lag),
		id:     backend.AttemptID{Request: model.RequestID(req.Message.ID), Incarnation: s.Incarnation},
		result: make(chan forwarding.Result, 1), progress: make(chan bool, 1),
	}
	d.times = gather.TimeDelegation(d.due.Sub(now))
	query := forwarding.Query{
		Rank: req.Policy.Rank, Left: req.Deadline.Sub(now), Workspace: req.Policy.Workspace,
		Request: backend.QueryRequest{ID: d.id, Message: req.Message, Deadline: req.Deadline},
		Gather: &forwarding.Gather{
			Route: req.Route.Name, Version: req.Topology.Routing.Version, Due: d.due, DueLeft: d.due.Sub(now),
		},
	}
	s.Dispatcher.StartDelegation(to, &query, func(r forwarding.Result) { d.result <- r })
	return d
}

// inquire asks the other daemon whether it still works on the answer, and passes the response to progress.
func (d *delegation) inquire() {
	d.searcher.Dispatcher.InquireDelegation(d.to, d.req.Policy.Rank, d.id, func(inProgress bool) {
		select {
		case d.progress <- inProgress:
		default:
			// The response to an earlier inquiry has not been taken yet.
		}
	})
}

// cancel ends the other daemon's work, unless its result has arrived.
func (d *delegation) cancel() { d.searcher.Dispatcher.CancelDelegation(d.id) }

// wait returns the answer of the other daemon. If there is none, this daemon has to gather it, with extra set if the other
// daemon may have sent attempts.
func (d *delegation) wait(ctx context.Context) (a RouteAnswer, answered, extra bool) {
	r, ok := d.awaitResult(ctx, d.times.Check)
	switch {
	case ok:
		a, answered = d.answer(&r)
		return a, answered, !answered && !r.Result.Status.ProvablyNotRun()
	case ctx.Err() != nil:
		d.cancel()
		return RouteAnswer{Outcome: model.OutcomeFailed, MissingShards: len(d.req.Shards), Late: true}, true, false
	}
	return a, false, true
}

// awaitResult waits for the other daemon's result. From inquireAfter on, counted from when that daemon was asked, it inquires whether
// that daemon is at work. It returns false if ctx ends, if there is no response, or if the answer is overdue and the other
// daemon does not work on it any more. While it does, gathering the answer here as well would only add to the load that makes
// it late.
func (d *delegation) awaitResult(ctx context.Context, inquireAfter time.Duration) (forwarding.Result, bool) {
	next := time.NewTimer(time.Until(d.sentAt.Add(inquireAfter)))
	defer next.Stop()
	inquired := false
	for {
		select {
		case r := <-d.result:
			return r, true
		case <-ctx.Done():
			return forwarding.Result{}, false
		case inProgress := <-d.progress:
			inquired = false
			switch untilOverdue := time.Until(d.sentAt.Add(d.times.Overdue)); {
			case untilOverdue > 0:
				// An answer that is not in progress any more is on its way.
				next.Reset(untilOverdue)
			case inProgress:
				next.Reset(d.times.Overdue)
			default:
				return forwarding.Result{}, false
			}
		case <-next.C:
			if inquired {
				d.searcher.Dispatcher.AvoidDaemon(d.to)
				return forwarding.Result{}, false
			}
			inquired = true
			d.inquire()
			next.Reset(d.times.Patience)
		}
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
	success := a.Outcome == model.OutcomeComplete || a.Outcome == model.OutcomePartial
	return a, !success || len(a.Replies) > 0
}

// answerOr returns the answer in a result, or other if it is no success.
func (d *delegation) answerOr(r *forwarding.Result, other RouteAnswer) RouteAnswer {
	if a, ok := d.answer(r); ok && a.answered() {
		return a
	}
	return other
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
	policy, ok := policyFor(t.Routing, route, q.Workspace)
	if !ok {
		return forwarding.Result{Result: backend.QueryResult{Status: backend.StatusBusy}}
	}
	a := s.ServeRoute(ctx, RouteRequest{
		Route: route, Topology: t, Policy: policy, Shards: s.Dispatcher.RouteShards(t, route), Message: q.Request.Message,
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

// policyFor returns the policy of a request that another daemon received for the workspace; "" means that it needs no key. It
// returns false if the configuration does not allow such a request.
func policyFor(r *model.Routing, route *model.Route, name model.WorkspaceName) (model.RequestPolicy, bool) {
	if r.RequiresKey(route) != (name != "") {
		return model.RequestPolicy{}, false
	}
	if name == "" {
		return r.Policy(route, nil), true
	}
	workspace := r.Workspace(name)
	if workspace == nil {
		return model.RequestPolicy{}, false
	}
	return r.Policy(route, workspace), true
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
