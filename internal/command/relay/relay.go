package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
)

// Request is a non-idempotent request of a route to one service.
type Request struct {
	Route    *model.Route
	Topology *model.Topology
	Shard    *model.Shard
	Message  *backend.Message
	Arrived  time.Time
	// Deadline is when the caller no longer waits.
	Deadline time.Time
}

// Reason says why a request was not run or is unknown.
type Reason string

// The reasons besides the names of backend statuses.
const (
	ReasonNone     Reason = ""
	ReasonNoServer Reason = "no_server"
	ReasonDeadline Reason = "deadline"
	ReasonBudget   Reason = "budget"
)

// Result is the end of a request.
type Result struct {
	// Outcome is OutcomeComplete (a server answered, with whatever status), OutcomeNotRun or OutcomeUnknown.
	Outcome model.Outcome
	Reason  Reason
	// Reply is the server's answer for OutcomeComplete.
	Reply *backend.MessageReply
}

// Relay passes requests on for one daemon.
type Relay struct {
	Dispatcher  *dispatch.Dispatcher
	Incarnation model.Incarnation
	Log         zerolog.Logger
}

// Run sends a request and returns once its end is known or ctx ends.
func (r *Relay) Run(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := run{relay: r, req: &req}
	a := run.send(ctx)
	r.Log.Info().Str("id", req.Message.ID).Str("route", string(req.Route.Name)).
		Uint64("version", uint64(req.Topology.Routing.Version)).Uint64("topology", uint64(req.Topology.Revision)).
		Str("outcome", string(a.Outcome)).Str("reason", string(a.Reason)).Int("attempts", len(run.tried)).
		Dur("took", time.Since(req.Arrived)).Dur("left", time.Until(req.Deadline)).Msg("request_answered")
	r.Dispatcher.Metrics().RouteRequest(req.Route.Name, a.Outcome, 0, time.Since(req.Arrived))
	return a
}

// run is the state of one request.
type run struct {
	relay *Relay
	req   *Request
	tried []model.ServerName
}

func (r *run) send(ctx context.Context) Result {
	d := r.relay.Dispatcher
	service := model.ServiceName(r.req.Shard.Name)
	d.ServiceBudgets.OnRequest(service, time.Now())
	reason := ReasonNoServer
	// arrived tells that the attempt before reached a server, so that the next one draws on the budget.
	arrived := false
	for len(r.tried) < max(1, r.req.Route.MaxAttempts) {
		if arrived && !d.ServiceBudgets.Spend(service, 1, time.Now()) {
			return Result{Outcome: model.OutcomeNotRun, Reason: ReasonBudget}
		}
		end, found := r.attempt(ctx, service)
		if !found {
			return Result{Outcome: model.OutcomeNotRun, Reason: reason}
		}
		if a, ended := judge(ctx, end); ended {
			return a
		}
		if end.Attempted {
			reason = Reason(end.Result.Status.String())
		}
		arrived = end.Attempted && end.Result.Status != backend.StatusUnreachable
	}
	return Result{Outcome: model.OutcomeNotRun, Reason: reason}
}

// attempt sends the request to the best server that was not tried, and tells whether there was one.
func (r *run) attempt(ctx context.Context, service model.ServiceName) (end dispatch.ExecuteOutcome, found bool) {
	d := r.relay.Dispatcher
	now := time.Now()
	sel := dispatch.Selection{Shard: r.req.Shard, Rank: r.req.Route.Rank, Tried: r.tried}
	candidates, records := d.Candidates(nil, nil, sel, now)
	i, ok := d.Choose(candidates, d.Rand())
	if !ok {
		return end, false
	}
	if candidates[i].Probe {
		records[i].StartProbe()
	}
	r.tried = append(r.tried, candidates[i].Server.Name)
	if len(r.tried) > 1 {
		d.Metrics().Retry(service)
	}
	end = d.Execute(ctx, &dispatch.ExecuteAttempt{
		Server: records[i],
		Rank:   r.req.Route.Rank,
		Probe:  candidates[i].Probe,
		Request: backend.ExecuteRequest{
			ID: backend.AttemptID{
				Request: model.RequestID(r.req.Message.ID), Incarnation: r.relay.Incarnation, Attempt: uint32(len(r.tried)), //nolint:gosec // a small count
			},
			Service: service, Shard: r.req.Shard.Name, Deadline: r.req.Deadline, Message: r.req.Message,
		},
		MaySend: func() bool { return ctx.Err() == nil && !records[i].Leaving() },
	})
	if !end.Attempted || end.Result.Status != backend.StatusOK {
		r.relay.Log.Info().Str("id", r.req.Message.ID).Str("service", string(service)).
			Str("server", string(candidates[i].Server.Name)).Int("attempt", len(r.tried)).Bool("sent", end.Attempted).
			Str("status", end.Result.Status.String()).Dur("after", time.Since(now)).Msg("attempt_failed")
	}
	return end, true
}

// judge tells whether the request has ended with an attempt, and how.
func judge(ctx context.Context, end dispatch.ExecuteOutcome) (Result, bool) {
	switch {
	case !end.Attempted:
		return Result{Outcome: model.OutcomeNotRun, Reason: ReasonDeadline}, ctx.Err() != nil
	case end.Result.Message != nil && !end.Result.Status.ProvablyNotRun():
		return Result{Outcome: model.OutcomeComplete, Reply: end.Result.Message}, true
	case !end.Result.Status.ProvablyNotRun():
		return Result{Outcome: model.OutcomeUnknown, Reason: Reason(end.Result.Status.String())}, true
	}
	return Result{}, false
}
