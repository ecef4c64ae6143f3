package dispatch

import (
	"context"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// delegatedWorkers is the number of workers per rank that gather answers for other daemons, and so of such answers that
	// are gathered at a time.
	delegatedWorkers = 64
	// delegatedPerCore is the number of answers per core of this daemon that it gathers for others at a time. Beyond that the
	// other daemons gather for themselves, since this one would take longer.
	delegatedPerCore = 24
	// minDelegateCapacity is the capacity that is assumed of a daemon that does not state its own, in cores.
	minDelegateCapacity = 0.25
	// inquiryTimeout is how long InquireDelegation waits for a response before the other daemon is avoided.
	inquiryTimeout = 500 * time.Millisecond
)

// Gatherer gathers the answers that other daemons delegated to this one.
type Gatherer interface {
	// GatherFor returns the answer to the query, which arrived at arrived. It returns when ctx ends, at the latest.
	GatherFor(ctx context.Context, q *forwarding.Query, arrived time.Time) forwarding.Result
}

// SetGatherer sets what gathers delegated answers. Without it they are refused. It must be called before the first batch.
func (f *Forwarding) SetGatherer(g Gatherer) { f.gatherer = g }

// Delegate returns the daemon that is to gather the answer to a request in place of this one, or false if this daemon gathers
// it itself.
func (d *Dispatcher) Delegate(request model.RequestID, policy *model.RequestPolicy) (model.Member, bool) {
	f := d.forwarding
	if f == nil {
		return model.Member{}, false
	}
	preferred := d.eligible(f.owners.View().Preferred[d.cfg.Zone], d.cfg.Zone, policy)
	return ownership.Delegate(string(request), &f.self, preferred)
}

// StartDelegation sends a query with a Gather part to another daemon. onResult is called once with the result, unless
// CancelDelegation is called before. A status without proof that the request was not run leaves open whether the other daemon
// works on it.
func (d *Dispatcher) StartDelegation(to model.Member, q *forwarding.Query, onResult func(forwarding.Result)) {
	d.forwarding.forwards.Forward([]tables.OutboundQuery{{Query: *q, Pending: tables.Pending{Peer: to, OnResult: onResult}}})
}

// CancelDelegation tells the other daemon that the answer is not needed any longer.
func (d *Dispatcher) CancelDelegation(id backend.AttemptID) { d.forwarding.forwards.Cancel(id) }

// AvoidDaemon leaves another daemon out for a while, since it did not respond in time.
func (d *Dispatcher) AvoidDaemon(m model.Member) {
	now := time.Now()
	d.forwarding.owners.Avoid(m, now.Add(avoidFailed), now)
}

// InquireDelegation asks another daemon whether it works on the answer with the given id, without waiting for it. onResponse is
// called if it responds.
func (d *Dispatcher) InquireDelegation(to model.Member, rank model.Rank, id backend.AttemptID, onResponse func(inProgress bool)) {
	d.ready.Push(&tables.Attempt{Rank: rank, Run: func() {
		ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
		defer cancel()
		batch := forwarding.Batch{From: d.forwarding.self, Inquiries: []backend.AttemptID{id}}
		receipt, err := d.forwarding.sender.Forward(ctx, to.Address, batch)
		if err != nil {
			d.AvoidDaemon(to)
			return
		}
		onResponse(slices.Contains(receipt.InProgress, id))
	}})
}

// gatherFor gathers an answer for another daemon and returns it in a batch. It reports whether this daemon still takes work of
// others.
func (f *Forwarding) gatherFor(from model.Member, query *forwarding.Query, now time.Time) bool {
	if f.gatherer == nil || !query.Valid() || f.draining() || !f.startDelegated() {
		f.refuse(from, query, backend.StatusBusy)
		return true
	}
	q := *query
	q.Request.Deadline = now.Add(q.Left)
	ctx, cancel := context.WithDeadline(context.Background(), q.Request.Deadline)
	if !f.forwards.Accept(from.Instance, q.Request.ID, cancel) {
		cancel()
		f.inProgress.Add(-1)
		return false
	}
	f.delegated.Push(&tables.Attempt{Rank: q.Rank, Run: func() {
		defer f.inProgress.Add(-1)
		defer cancel()
		r := f.gatherer.GatherFor(ctx, &q, now)
		r.ID = q.Request.ID
		f.forwards.QueueResult(from, r, false)
	}})
	return true
}

// startDelegated counts one more answer that is gathered for others, or returns false if there are too many.
func (f *Forwarding) startDelegated() bool {
	limit := int64(max(1, delegatedPerCore*max(minDelegateCapacity, f.self.Capacity)))
	if f.inProgress.Add(1) > limit {
		f.inProgress.Add(-1)
		return false
	}
	return true
}
