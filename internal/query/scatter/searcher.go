package scatter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Request is one query. Its Topology is pinned for the whole answer.
type Request struct {
	Caller   model.CallerName
	Rank     model.Rank
	Service  *model.Service
	Topology *model.Topology
	Text     string
	// Limit is the largest number of items in the answer.
	Limit    int
	Deadline time.Time
}

// Answer is the end of a query.
type Answer struct {
	RequestID model.RequestID
	Outcome   model.Outcome
	// Reason says why a query was not run; empty otherwise.
	Reason   admission.Reason
	Revision model.Revision
	Epoch    model.ShardMapEpoch
	Version  model.IndexVersion
	Coverage model.Coverage
	Items    []model.Item
	// RetryAfter is the hint given with OutcomeNotRun.
	RetryAfter time.Duration
}

// Searcher runs queries for one daemon.
type Searcher struct {
	Dispatcher  *dispatch.Dispatcher
	Instance    model.InstanceID
	Incarnation model.Incarnation

	sequence atomic.Uint64
}

// Search runs a query and returns when it is answered, or when ctx ends, whichever is first.
func (s *Searcher) Search(ctx context.Context, req Request) Answer {
	id := model.RequestID(fmt.Sprintf("%s-%x-%x", s.Instance, uint64(s.Incarnation), s.sequence.Add(1))) //nolint:gosec // an identifier
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ticket := s.Dispatcher.Admissions.Arrive(req.Service.Name, admission.Waiter{
		Caller: req.Caller, Rank: req.Rank, Deadline: req.Deadline,
	}, time.Now())
	decision := s.await(ctx, ticket, req)
	if decision.Verdict != admission.Admitted {
		return notRun(id, req, decision)
	}
	c := newCall(s, id, req)
	answer := c.run(ctx)
	s.Dispatcher.Admissions.Finish(ticket, time.Now())
	return answer
}

// await waits for the admission decision, at most for the rank's longest queueing time.
func (s *Searcher) await(ctx context.Context, ticket *tables.Ticket, req Request) admission.Decision {
	wait := time.Until(req.Deadline)
	if m := req.Topology.RankPolicy(req.Rank).MaxQueue; m > 0 {
		wait = min(wait, m)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case d := <-ticket.Ready():
		return d
	case <-timeout.C:
	case <-ctx.Done():
	}
	return s.abandon(ticket, req)
}

// abandon withdraws a request that waited too long. If it was decided on in the meantime, the decision stands.
func (s *Searcher) abandon(ticket *tables.Ticket, req Request) admission.Decision {
	if !s.Dispatcher.Admissions.Abandon(ticket) {
		return <-ticket.Ready()
	}
	return admission.Decision{
		Verdict:    admission.Refused,
		Reason:     admission.ReasonQueueTime,
		RetryAfter: s.Dispatcher.Admissions.RetryAfter(req.Service.Name, req.Rank),
	}
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
