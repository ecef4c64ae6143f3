package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
)

// Request is a non-idempotent request of a route to one service.
type Request struct {
	Route    *model.Route
	Topology *model.Topology
	// Policy is the policy of the request under the Topology's routing configuration.
	Policy  model.RequestPolicy
	Shard   *model.Shard
	Message *backend.Message
	Arrived time.Time
	// Deadline is the time until which the caller waits.
	Deadline time.Time
}

// Reason explains why a request was not run or why its outcome is unknown.
type Reason string

// Reasons other than the names of backend statuses.
const (
	ReasonNone     Reason = ""
	ReasonNoServer Reason = "no_server"
	ReasonDeadline Reason = "deadline"
	ReasonBudget   Reason = "budget"
	ReasonDraining Reason = "draining"
	// ReasonRevoked means that the request's key was removed after the request had arrived.
	ReasonRevoked Reason = "key_revoked"
)

// Result is the outcome of a request.
type Result struct {
	// Outcome is OutcomeComplete (a server answered, with any status), OutcomeNotRun or OutcomeUnknown.
	Outcome model.Outcome
	Reason  Reason
	// Reply is the server's answer for OutcomeComplete.
	Reply *backend.MessageReply
	// Pushback, with OutcomeNotRun, is how long all servers of the service asked for no requests; 0 if the request was not run
	// for another reason.
	Pushback time.Duration
}

// Relay forwards the non-idempotent requests of routes for one daemon.
type Relay struct {
	Dispatcher  *dispatch.Dispatcher
	Incarnation model.Incarnation
	Log         zerolog.Logger
}

// Run sends a request and returns once its outcome is known or ctx ends.
func (r *Relay) Run(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	exec := execution{relay: r, req: &req}
	result := exec.send(ctx)
	if result.Outcome == model.OutcomeNotRun {
		result.Pushback, _ = r.Dispatcher.PushbackUntil([]*model.Shard{req.Shard}, req.Policy.Regions, 1, time.Now())
	}
	r.Log.Info().Str("id", req.Message.ID).Str("route", string(req.Route.Name)).
		Uint64("version", uint64(req.Topology.Routing.Version)).Uint64("topology", uint64(req.Topology.Revision)).
		Str("outcome", string(result.Outcome)).Str("reason", string(result.Reason)).Int("attempts", len(exec.tried)).Dur("pushback", result.Pushback).
		Dur("took", time.Since(req.Arrived)).Dur("left", time.Until(req.Deadline)).Msg("request_answered")
	r.Dispatcher.Metrics().RouteRequest(req.Route.Name, result.Outcome, 0, time.Since(req.Arrived))
	return result
}

// execution is the state of one request.
type execution struct {
	relay *Relay
	req   *Request
	tried []model.ServerName
	// unsent counts those of tried that do not count toward the route's attempt limit.
	unsent budget.UnsentAttempts
}

func (e *execution) send(ctx context.Context) Result {
	d := e.relay.Dispatcher
	service := model.ServiceName(e.req.Shard.Name)
	d.ServiceBudgets.OnRequest(service, time.Now())
	reason := ReasonNoServer
	// reachedServer reports whether the previous attempt reached a server, so that the next one draws on the budget.
	reachedServer := false
	for len(e.tried)-int(e.unsent) < max(1, e.req.Route.MaxAttempts) {
		if d.Draining() {
			return Result{Outcome: model.OutcomeNotRun, Reason: ReasonDraining}
		}
		if !d.Permits(&e.req.Policy) {
			return Result{Outcome: model.OutcomeNotRun, Reason: ReasonRevoked}
		}
		if reachedServer && !d.ServiceBudgets.Spend(service, 1, time.Now()) {
			return Result{Outcome: model.OutcomeNotRun, Reason: ReasonBudget}
		}
		end, found := e.attempt(ctx, service)
		if !found {
			return Result{Outcome: model.OutcomeNotRun, Reason: reason}
		}
		if result, ended := classify(ctx, end); ended {
			return result
		}
		if end.Attempted {
			reason = Reason(end.Result.Status.String())
		}
		if end.Result.Status == backend.StatusBusy {
			e.unsent.Waive()
		}
		reachedServer = end.Attempted && end.Result.Status != backend.StatusUnreachable && end.Result.Status != backend.StatusBusy
	}
	return Result{Outcome: model.OutcomeNotRun, Reason: reason}
}

// attempt sends the request to the best server that was not tried yet, and reports whether there was one.
func (e *execution) attempt(ctx context.Context, service model.ServiceName) (end dispatch.ExecuteOutcome, found bool) {
	d := e.relay.Dispatcher
	now := time.Now()
	policy := &e.req.Policy
	criteria := dispatch.SelectionCriteria{
		Shard: e.req.Shard, Rank: policy.Rank, Regions: policy.Regions, Tried: e.tried, Unforwarded: true,
	}
	candidates, records := d.Candidates(nil, nil, criteria, now)
	i, ok := d.Choose(candidates, d.Rand())
	if !ok {
		return end, false
	}
	if candidates[i].Probe {
		records[i].StartProbe()
	}
	e.tried = append(e.tried, candidates[i].Server.Name)
	if len(e.tried) > 1 {
		d.Metrics().Retry(service)
	}
	end = d.Execute(ctx, &dispatch.ExecuteAttempt{
		Server: records[i],
		Rank:   policy.Rank,
		Policy: policy,
		Probe:  candidates[i].Probe,
		Request: backend.ExecuteRequest{
			ID: backend.AttemptID{
				Request: model.RequestID(e.req.Message.ID), Incarnation: e.relay.Incarnation, Attempt: uint32(len(e.tried)), //nolint:gosec // a small count
			},
			Service: service, Shard: e.req.Shard.Name, Deadline: e.req.Deadline, Message: e.req.Message,
		},
		MaySend: func() bool { return ctx.Err() == nil },
	})
	if !end.Attempted || end.Result.Status != backend.StatusOK {
		e.relay.Log.Info().Str("id", e.req.Message.ID).Str("service", string(service)).
			Str("server", string(candidates[i].Server.Name)).Int("attempt", len(e.tried)).Bool("sent", end.Attempted).
			Str("status", end.Result.Status.String()).Dur("after", time.Since(now)).Msg("attempt_failed")
	}
	return end, true
}

// classify returns the result of the request after an attempt, and reports whether the attempt ended the request.
func classify(ctx context.Context, end dispatch.ExecuteOutcome) (Result, bool) {
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
