package dispatch

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/decision/reach"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// maxSenders bounds the batches under way at a time. Each takes a round trip, and one to a silent daemon its timeout, so that
	// a few would hold up all others in a fleet of some regions or after the loss of some daemons.
	maxSenders = 1024
	// avoidFailed is how long a daemon that did not take a batch owns no servers for this daemon, and avoidDraining the
	// same for one that is stopping.
	avoidFailed   = 3 * time.Second
	avoidDraining = 10 * time.Second
	// maxPreconnects bounds the connections that are opened ahead of use after one change of the members. A daemon of a large
	// fleet opens the others when it first sends there.
	maxPreconnects = 64
	// forwardGrace is the time after its deadline for which the owner waits for an attempt.
	forwardGrace = 50 * time.Millisecond
	// collectTime is how long a result may wait for other results of its query, unless replies are merged. The query needs
	// those too, so that its answer is not later.
	collectTime = 2 * time.Millisecond
	// collectMargin is the time before its deadline from which a result does not wait: one between regions takes 10 ms, and
	// the asker answers 5 ms before the deadline.
	collectMargin = 50 * time.Millisecond
)

// Sender delivers batches to other daemons.
type Sender interface {
	// Forward delivers a batch to the daemon at address and returns its receipt.
	Forward(ctx context.Context, address string, b forwarding.Batch) (forwarding.Receipt, error)
}

// Forwarding is the part of a dispatcher that sends sub-requests through the owners of their servers. Create it with
// EnableForwarding.
type Forwarding struct {
	d        *Dispatcher
	sender   Sender
	self     model.Member
	owners   *tables.Owners
	forwards *tables.Forwards
	draining func() bool
	senders  *pool.Pool
}

// ForwardingConfig is what Forwarding works on.
type ForwardingConfig struct {
	Sender Sender
	Self   model.Member
	Owners *tables.Owners
	// Draining tells whether this daemon is stopping.
	Draining func() bool
}

// EnableForwarding makes the dispatcher send idempotent sub-requests through the owners of their servers. Call it before
// the first request.
func (d *Dispatcher) EnableForwarding(cfg ForwardingConfig) *Forwarding {
	f := &Forwarding{
		d: d, sender: cfg.Sender, self: cfg.Self, owners: cfg.Owners,
		forwards: tables.NewForwards(), draining: cfg.Draining,
	}
	f.senders = pool.Start(maxSenders, f.nextBatch)
	d.forwarding = f
	return f
}

// route returns the daemon through which an attempt goes, or false if this daemon sends it itself.
func (d *Dispatcher) route(q *QueryAttempt, plan *gatherPlan) (model.Member, bool) {
	f := d.forwarding
	switch {
	case f == nil:
		return model.Member{}, false
	case q.ForwardTo.Instance != "":
		return q.ForwardTo, true
	case q.Request.Message != nil:
		return plan.next(q)
	}
	owner, ok := q.Server.Owner(f.owners.View())
	return owner, ok && owner.Instance != f.self.Instance
}

// outgoing prepares an attempt for the owner of its server.
func (f *Forwarding) outgoing(q *QueryAttempt, owner model.Member) tables.OutboundQuery {
	q.forwarded = true
	q.Server.AddForwarded(1)
	return tables.OutboundQuery{
		Query: forwarding.Query{
			Server:  q.Server.Name(),
			Rank:    q.Rank,
			Request: q.Request,
			Left:    q.Request.Deadline.Sub(q.Started),

			BounceAfter: q.BounceAfter,
			MergeWait:   q.MergeWait,
			Charge:      q.Charge,
		},
		Pending: tables.Pending{Peer: owner, OnResult: func(r forwarding.Result) { f.end(q, r) }},
	}
}

// end takes the result of a forwarded attempt.
func (f *Forwarding) end(q *QueryAttempt, r forwarding.Result) {
	q.Server.AddForwarded(-1)
	total := time.Since(q.Started)
	latency := total
	if q.Rank == model.RankDeferred {
		// Deferred work waits at the owner behind other work, which says nothing about what other ranks would meet.
		latency = max(0, total-r.Waited)
	}
	q.Slowdown = f.d.observer.ObserveAttempt(q.Server, AttemptResult{
		Status:    r.Result.Status,
		Latency:   max(0, latency-r.Delayed),
		Delayed:   r.Delayed,
		Total:     total,
		Load:      r.Result.Reply.Load,
		Held:      heldVersions(r.Result),
		Forwarded: true,
	})
	q.stop()
	q.Done(q, r.Result)
}

// lose ends forwarded attempts whose owners were lost. That says nothing about the servers.
func (f *Forwarding) lose(lost map[backend.AttemptID]tables.Pending, status backend.Status) {
	for id, p := range lost {
		p.OnResult(forwarding.Result{ID: id, Result: backend.QueryResult{Status: status}})
	}
}

// cancel ends a forwarded attempt and tells whether it was still pending.
func (f *Forwarding) cancel(q *QueryAttempt) bool {
	if !f.forwards.Cancel(q.Request.ID) {
		return false
	}
	q.Server.AddForwarded(-1)
	q.stop()
	if q.Rank != model.RankDeferred {
		// No result will tell how slow the server is; the attempt took at least this long. See end for deferred work.
		now := time.Now()
		q.Server.ObserveOverdue(now.Sub(q.Started), now)
	}
	return true
}

// nextBatch is the source of the senders' work.
func (f *Forwarding) nextBatch() (func(), bool) {
	s, ok := f.forwards.Take()
	if !ok {
		return nil, false
	}
	return func() { f.send(s) }, true
}

func (f *Forwarding) send(s tables.OutboundBatch) {
	to := s.To
	if f.d.zones.Unreachable(to.Zone) {
		// Senders that wait for each daemon of a lost zone would be missing for the daemons of other zones.
		f.forwards.Sent(s)
		f.lose(f.forwards.TakePendingAt(to.Instance), backend.StatusZoneUnreachable)
		return
	}
	s.Batch.From = f.self
	s.Batch.StampDelays(time.Now())
	s.Batch.Compact()
	ctx, cancel := context.WithTimeout(context.Background(), reach.SendTimeout(f.d.zones.RoundTrip(to.Zone)))
	defer cancel()
	began := time.Now()
	answered := f.d.watchBatch(to, began)
	receipt, err := f.sender.Forward(ctx, to.Address, s.Batch)
	answered()
	now := time.Now()
	if err != nil {
		f.owners.Avoid(to, now.Add(avoidFailed), now)
		f.lose(f.forwards.TakePendingAt(to.Instance), backend.StatusOwnerLost)
		f.forwards.SendFailed(s)
		return
	}
	f.forwards.Sent(s)
	if f.d.watches(to.Zone) {
		f.d.zones.RecordRoundTrip(to.Zone, now.Sub(began))
		f.d.zoneHeard(to.Zone)
	}
	if receipt.Draining || receipt.Refused {
		f.owners.Avoid(to, now.Add(avoidDraining), now)
	}
	if receipt.Refused {
		f.lose(f.forwards.TakePendingAt(to.Instance), backend.StatusOwnerLost)
	}
}

// Preconnect opens connections to daemons that may own servers ahead of use. Without it the first query through an owner in
// another region pays for the connections of both directions, about 100 ms at 10 ms one way.
func (d *Dispatcher) Preconnect(owners []model.Member) {
	f := d.forwarding
	if f == nil {
		return
	}
	for _, m := range owners[:min(len(owners), maxPreconnects)] {
		if m.Instance != f.self.Instance {
			f.forwards.Preconnect(m)
		}
	}
}

// Receive takes a batch from another daemon. It only queues work and takes results, so it returns at once.
func (f *Forwarding) Receive(b forwarding.Batch) forwarding.Receipt {
	b.Expand()
	if f.d.watches(b.From.Zone) {
		// A daemon sends batches to zones that answer it. While this daemon held its zone unreachable, its results would
		// be dropped.
		f.d.zoneHeard(b.From.Zone)
	}
	for _, id := range b.Cancels {
		if cancel := f.forwards.TakeInbound(id); cancel != nil {
			cancel()
		}
	}
	refused := false
	for i := range b.Queries {
		refused = !f.accept(b.From, &b.Queries[i]) || refused
	}
	for _, r := range b.Results {
		if p, ok := f.forwards.TakePending(r.ID); ok {
			p.OnResult(r)
		}
	}
	return forwarding.Receipt{Draining: f.draining(), Refused: refused}
}

// accept sends a sub-request for another daemon. It is never forwarded again, so that differing views of the members
// cannot pass it around. It returns false if this daemon has finished its work for others.
func (f *Forwarding) accept(from model.Member, sent *forwarding.Query) bool {
	now := time.Now()
	s := f.d.Servers.Get(sent.Server)
	if s == nil {
		f.refuse(from, sent, backend.StatusOwnerLost)
		return true
	}
	if sent.Charge > 0 && !f.d.ServiceBudgets.Spend(sent.Request.Service, sent.Charge, now) {
		f.refuse(from, sent, backend.StatusOverBudget)
		return true
	}
	request := sent.Request
	request.Deadline = now.Add(sent.Left)
	ctx, release := context.WithDeadline(context.Background(), request.Deadline.Add(forwardGrace))
	q := &QueryAttempt{Server: s, Rank: sent.Rank, Request: request, BounceAfter: sent.BounceAfter, MergeWait: sent.MergeWait}
	q.Done = func(q *QueryAttempt, r backend.QueryResult) {
		release()
		f.returnResult(from, q, r)
	}
	accepted := f.forwards.Accept(from.Instance, request.ID, func() {
		if q.Cancel() {
			release()
		}
	})
	if !accepted {
		release()
		return false
	}
	f.d.startHere(ctx, q, now)
	return true
}

// refuse returns an attempt that is not sent.
func (f *Forwarding) refuse(to model.Member, sent *forwarding.Query, status backend.Status) {
	f.forwards.QueueResult(to, forwarding.Result{ID: sent.Request.ID, Result: backend.QueryResult{Status: status}}, false)
}

// BudgetLender returns another daemon that may pay for a query's extra attempts in a zone: one of that zone, or else of this daemon's.
// It returns false if there is none. One query's attempts in a zone share it, so that they share a batch.
func (d *Dispatcher) BudgetLender(zone model.AvailabilityZone, query model.RequestID) (model.Member, bool) {
	f := d.forwarding
	if f == nil {
		return model.Member{}, false
	}
	view := f.owners.View()
	for _, z := range []model.AvailabilityZone{zone, d.cfg.Zone} {
		members := view.Zones[z]
		for _, i := range ownership.Gatherers(string(query), members, 2) {
			if members[i].Instance != f.self.Instance {
				return members[i], true
			}
		}
	}
	return model.Member{}, false
}

// returnResult returns the result of an attempt that another daemon forwarded. Only a reply waits for other results: after any
// other end the asker may have to send the sub-request elsewhere.
func (f *Forwarding) returnResult(to model.Member, q *QueryAttempt, r backend.QueryResult) {
	now := time.Now()
	mayWait := r.Status == backend.StatusOK && q.Request.Deadline.Sub(now) > collectMargin
	result := forwarding.Result{ID: q.Request.ID, Result: r, Waited: q.waited, Returned: now}
	wait := collectTime
	if q.Request.Message != nil {
		result.Limit = q.Request.Limit
		wait = q.MergeWait
		mayWait = mayWait && result.Limit > 0 && wait > 0
	}
	if f.forwards.QueueResult(to, result, mayWait) {
		f.d.Timer.Schedule(now.Add(wait), func() { f.forwards.Flush(to.Instance) })
	}
}

// WaitForwarded waits until the sub-requests that this daemon sends for others have ended and their results were
// delivered, or ctx has ended. From then on it takes no further ones.
func (d *Dispatcher) WaitForwarded(ctx context.Context) {
	if d.forwarding == nil {
		return
	}
	select {
	case <-d.forwarding.forwards.DrainInbound():
	case <-ctx.Done():
	}
}

// close ends the senders once everything queued was sent.
func (f *Forwarding) close() {
	f.forwards.Close()
	f.senders.Wait()
}
