package scatter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
)

// Request is a query. All of its attempts use the given Topology, even if a newer one is installed meanwhile.
type Request struct {
	Caller   model.CallerName
	Rank     model.Rank
	Service  *model.Service
	Topology *model.Topology
	Text     string
	// Limit is the maximum number of items in the answer.
	Limit    int
	Deadline time.Time
}

// Answer is the result of a query.
type Answer struct {
	RequestID model.RequestID
	Outcome   model.Outcome
	// Reason explains why a query was not run; empty otherwise.
	Reason   admission.Reason
	Revision model.Revision
	Epoch    model.ShardMapEpoch
	Version  model.IndexVersion
	Coverage model.Coverage
	Items    []model.Item
	// RetryAfter is the hint given with OutcomeNotRun.
	RetryAfter time.Duration
}

// Searcher runs the queries of the search API and the idempotent requests of routes for one daemon.
type Searcher struct {
	Dispatcher  *dispatch.Dispatcher
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// Log receives the results of requests of routes and of their failed attempts.
	Log zerolog.Logger

	sequence atomic.Uint64
}

// Search runs a query. It returns when the query is answered or ctx ends, whichever is first.
func (s *Searcher) Search(ctx context.Context, req Request) Answer {
	id := model.RequestID(fmt.Sprintf("%s-%x-%x", s.Instance, uint64(s.Incarnation), s.sequence.Add(1))) //nolint:gosec // an identifier
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if s.Dispatcher.Policy() == model.PolicyBaseline {
		req.Rank = model.RankStandard
	}
	waiter := admission.Waiter{Caller: req.Caller, Rank: req.Rank, Deadline: req.Deadline}
	entry := s.Dispatcher.Admit(ctx, req.Service.Name, waiter, req.Topology.RankPolicy(req.Rank).MaxQueue)
	if !entry.Admitted() {
		return notRun(id, req, entry.Decision)
	}
	c := newQueryCall(s, id, req)
	answer := c.run(ctx)
	s.Dispatcher.FinishRequest(req.Service.Name, entry, c.slowdown())
	return answer
}

func notRun(id model.RequestID, req Request, d admission.Decision) Answer {
	a := Answer{
		RequestID:  id,
		Outcome:    model.OutcomeNotRun,
		Reason:     d.Reason,
		Revision:   req.Topology.Revision,
		Epoch:      req.Service.Epoch,
		RetryAfter: d.RetryAfter,
	}
	a.Coverage.ShardsAsked = 0
	for _, sh := range req.Service.Shards {
		a.Coverage.Missing = append(a.Coverage.Missing, sh.Name)
	}
	return a
}
