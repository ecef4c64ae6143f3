package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/pause"
	"oleandersill.example/oleandersill/internal/decision/zonehealth"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	// maxSenders limits the number of batches that are sent concurrently. A batch occupies a sender for a round trip, or for the
	// whole timeout if the daemon does not respond. With few senders, all other batches would be delayed in a fleet of several
	// regions or after the loss of several daemons.
	maxSenders = 1024
	// avoidFailed is how long this daemon does not use another daemon as an owner of servers after a batch to it failed, or while
	// it starts. avoidDraining is the same for a daemon that is stopping.
	avoidFailed   = 3 * time.Second
	avoidDraining = 10 * time.Second
	// maxPreconnects limits the number of daemons to which connections are opened ahead of use after a membership change. In a
	// large fleet, the other connections are opened on first use.
	maxPreconnects = 64
	// forwardGrace is how long after the deadline of a forwarded attempt the daemon that sends it still waits for the reply.
	forwardGrace = 50 * time.Millisecond
	// resultBatchDelay is how long a result may be held back to be returned together with other results of its query; where
	// replies are merged, MergeWait applies instead. The query needs those other results too, so this does not delay its
	// answer.
	resultBatchDelay = 2 * time.Millisecond
	// resultBatchMargin is the time before the deadline within which a result is not held back: its delivery takes 10 ms
	// between regions, and the requesting daemon answers its caller 5 ms before the deadline.
	resultBatchMargin = 50 * time.Millisecond
)

// Sender delivers batches to other daemons.
type Sender interface {
	// Forward delivers a batch to the daemon at address and returns its receipt.
	Forward(ctx context.Context, address string, b forwarding.Batch) (forwarding.Receipt, error)
}

// Forwarding is the part of a Dispatcher that forwards sub-requests to the daemons that own their servers, and sends those
// that other daemons forward to this one. Create it with EnableForwarding.
type Forwarding struct {
	d        *Dispatcher
	sender   Sender
	self     model.Member
	owners   *tables.Owners
	forwards *tables.Forwards
	pauses   *tables.Pauses
	draining func() bool
	senders  *pool.Pool

	// gatherer gathers delegated answers, which wait in delegated for a worker of gatherWorkers. inProgress counts them.
	gatherer      Gatherer
	delegated     *tables.ReadyAttempts
	gatherWorkers []*pool.Pool
	inProgress    atomic.Int64

	// closedView is the version of the members for which closeLost closed connections. Only tick uses it.
	closedView uint64
}

// ForwardingConfig holds the dependencies of Forwarding.
type ForwardingConfig struct {
	Sender Sender
	Self   model.Member
	Owners *tables.Owners
	// Draining reports whether this daemon is stopping.
	Draining func() bool
}

// EnableForwarding makes the dispatcher forward idempotent sub-requests to the owners of their servers. It must be called
// before the first request.
func (d *Dispatcher) EnableForwarding(cfg ForwardingConfig) *Forwarding {
	f := &Forwarding{
		d: d, sender: cfg.Sender, self: cfg.Self, owners: cfg.Owners,
		forwards: tables.NewForwards(), draining: cfg.Draining, delegated: tables.NewReadyAttempts(),
		pauses: tables.NewPauses(time.Now()),
	}
	f.tick()
	f.senders = pool.Start(maxSenders, f.nextBatch)
	f.gatherWorkers = startWorkers(f.delegated, delegatedWorkers)
	d.forwarding = f
	return f
}

// tick records that the process runs and updates the owners, now and every pause.TickInterval.
func (f *Forwarding) tick() {
	now := time.Now()
	f.pauses.Tick(now)
	f.owners.Expire(now)
	f.closeLost()
	f.d.Timer.Schedule(now.Add(pause.TickInterval), f.tick)
}

// forwardingTarget returns the daemon to which an attempt is forwarded, or false if this daemon sends it itself.
func (d *Dispatcher) forwardingTarget(q *QueryAttempt, plan *gatherPlan) (model.Member, bool) {
	f := d.forwarding
	switch {
	case f == nil:
		return model.Member{}, false
	case q.Server.OwnerOnly(time.Now()):
		return f.otherOwner(q.Server, q.Policy)
	case q.ForwardTo.Instance != "":
		return q.ForwardTo, true
	case q.Request.Message != nil:
		return plan.nextGatherer(q)
	}
	return f.otherOwner(q.Server, q.Policy)
}

// outgoing marks an attempt as forwarded and returns the message for the daemon that is to send it.
func (f *Forwarding) outgoing(q *QueryAttempt, target model.Member) tables.OutboundQuery {
	q.forwarded = true
	q.Server.AddForwarded(1)
	query := forwarding.Query{
		Server:  q.Server.Name(),
		Rank:    q.Rank,
		Request: q.Request,
		Left:    q.Request.Deadline.Sub(q.Started),

		BounceAfter: q.BounceAfter,
		MergeWait:   q.MergeWait,
		TrimTo:      q.TrimTo,
		Charge:      q.Charge,
	}
	if q.Policy != nil {
		query.Workspace = q.Policy.Workspace
	}
	return tables.OutboundQuery{
		Query:   query,
		Pending: tables.Pending{Peer: target, OnResult: func(r forwarding.Result) { f.finish(q, r) }},
	}
}

// finish handles the result of a forwarded attempt.
func (f *Forwarding) finish(q *QueryAttempt, r forwarding.Result) {
	r.Normalize(q.Request.Message != nil)
	q.Server.AddForwarded(-1)
	total := time.Since(q.Started)
	latency := total
	if q.Rank == model.RankDeferred {
		// At the owner, deferred requests are queued behind those of other ranks, so their queueing time is no estimate of
		// the latency of other ranks.
		latency = max(0, total-r.Waited)
	}
	q.Slowdown = f.d.observer.ObserveAttempt(q.Server, AttemptResult{
		Status:     r.Result.Status,
		Latency:    max(0, latency-r.Delayed),
		Delayed:    r.Delayed,
		Total:      total,
		Load:       r.Result.Reply.Load,
		RetryAfter: r.Result.RetryAfter,
		Held:       heldVersions(r.Result),
		Forwarded:  true,
	})
	q.stop()
	q.Done(q, r.Result)
}

// failPending ends forwarded attempts with the given status because the daemons that were to send them were lost. The
// status is no evidence about the servers.
func (f *Forwarding) failPending(lost map[backend.AttemptID]tables.Pending, status backend.Status) {
	for id, p := range lost {
		p.OnResult(forwarding.Result{ID: id, Result: backend.QueryResult{Status: status}})
	}
}

// cancel cancels a forwarded attempt and reports whether it was still pending.
func (f *Forwarding) cancel(q *QueryAttempt) bool {
	if !f.forwards.Cancel(q.Request.ID) {
		return false
	}
	q.Server.AddForwarded(-1)
	q.stop()
	if q.Rank != model.RankDeferred {
		// There will be no result to measure the latency by, but the attempt took at least this long. Deferred attempts are
		// left out because their queueing time at the owner is unknown.
		now := time.Now()
		q.Server.ObserveOverdue(now.Sub(q.Started), now)
	}
	return true
}

// nextBatch waits for a batch and returns the function that sends it, or false once forwarding is closed.
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
		// Otherwise senders would wait for every daemon of the unreachable zone and not be available for other zones.
		f.forwards.Sent(s)
		f.failPending(f.forwards.TakePendingAt(to.Instance), backend.StatusZoneUnreachable)
		return
	}
	s.Batch.From = f.self
	s.Batch.StampDelays(time.Now())
	s.Batch.Compact()
	ctx, cancel := context.WithTimeout(context.Background(), zonehealth.SendTimeout(f.d.zones.RoundTrip(to.Zone)))
	defer cancel()
	began := time.Now()
	stopReplyTimer := f.d.startReplyTimer(to, began)
	receipt, err := f.sender.Forward(ctx, to.Address, s.Batch)
	stopReplyTimer()
	now := time.Now()
	if err != nil {
		f.owners.Avoid(to, now.Add(avoidFailed), now)
		f.failPending(f.forwards.TakePendingAt(to.Instance), backend.StatusOwnerLost)
		f.forwards.SendFailed(s)
		return
	}
	f.forwards.Sent(s)
	if f.d.tracksReachability(to.Zone) {
		f.d.zones.RecordRoundTrip(to.Zone, now.Sub(began))
		f.d.recordZoneReply(to.Zone)
	}
	switch {
	case receipt.Draining || receipt.Refused:
		f.owners.Avoid(to, now.Add(avoidDraining), now)
	case receipt.Starting:
		f.owners.Avoid(to, now.Add(avoidFailed), now)
	}
	if receipt.Refused {
		f.failPending(f.forwards.TakePendingAt(to.Instance), backend.StatusOwnerLost)
	}
}

// Preconnect opens connections to daemons that may own servers ahead of use. Without it, the first query that is forwarded
// to another region waits for the connections in both directions, about 100 ms at a one-way latency of 10 ms.
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

// Receive handles a batch from another daemon. It queues the batch's sub-requests and delivers its results without
// waiting for servers.
func (f *Forwarding) Receive(b forwarding.Batch) forwarding.Receipt {
	b.Expand()
	if f.d.tracksReachability(b.From.Zone) {
		// The other daemon sends batches only to zones that it considers reachable. As long as this daemon considers the
		// other daemon's zone unreachable, it would drop the results for that daemon.
		f.d.recordZoneReply(b.From.Zone)
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
	return forwarding.Receipt{
		Draining: f.draining(), Refused: refused, Starting: f.starting(), InProgress: f.forwards.InProgress(b.Inquiries),
	}
}

// starting reports whether this daemon has no Topology yet.
func (f *Forwarding) starting() bool { return f.d.Config.Current() == nil }

// accept sends a sub-request for another daemon. The sub-request is never forwarded again, so that daemons with different
// views of the membership cannot forward it in a loop. accept returns false if this daemon no longer takes sub-requests of
// other daemons.
func (f *Forwarding) accept(from model.Member, query *forwarding.Query) bool {
	now := time.Now()
	if query.Left <= 0 {
		f.refuse(from, query, backend.StatusDeadlinePassed)
		return true
	}
	// The time that is left was stated when the batch was sent, which may have been before a pause of this process.
	query.Left -= f.pauses.Held(now)
	if query.Left <= 0 {
		f.refuse(from, query, unsentStatus)
		return true
	}
	if query.Gather != nil {
		return f.gatherFor(from, query, now)
	}
	s := f.d.Servers.Get(query.Server)
	// The records of servers are there before the first Topology is installed, which recording the end of an attempt needs.
	if f.starting() || s == nil || !query.Valid() {
		f.refuse(from, query, unsentStatus)
		return true
	}
	policy := inboundPolicy(query)
	if !f.d.Permits(policy) {
		f.refuse(from, query, unsentStatus)
		return true
	}
	if query.Charge > 0 && !f.d.spendExtra(query.Request.Service, query.Charge, now) {
		f.refuse(from, query, backend.StatusOverBudget)
		return true
	}
	request := query.Request
	request.Deadline = now.Add(query.Left)
	ctx, cancelContext := context.WithDeadline(context.Background(), request.Deadline.Add(forwardGrace))
	q := &QueryAttempt{
		Server: s, Rank: query.Rank, Request: request, Policy: policy,
		BounceAfter: query.BounceAfter, MergeWait: query.MergeWait, TrimTo: query.TrimTo,
	}
	q.Done = func(q *QueryAttempt, r backend.QueryResult) {
		cancelContext()
		f.returnResult(from, q, r)
	}
	// The cancellation may come before the attempt is started.
	q.prepare(ctx, f.d, now)
	accepted := f.forwards.Accept(from.Instance, request.ID, func() {
		if q.Cancel() {
			cancelContext()
		}
	})
	if !accepted {
		cancelContext()
		return false
	}
	f.d.startPrepared(q, now)
	return true
}

// refuse returns the status of a sub-request that this daemon did not send to its server.
func (f *Forwarding) refuse(to model.Member, query *forwarding.Query, status backend.Status) {
	f.forwards.QueueResult(to, forwarding.Result{ID: query.Request.ID, Result: backend.QueryResult{Status: status}}, false)
}

// returnResult returns the result of an attempt to the daemon that forwarded it. Only successful replies are held back to be
// batched: after any other result the requesting daemon may have to send the sub-request to another server.
func (f *Forwarding) returnResult(to model.Member, q *QueryAttempt, r backend.QueryResult) {
	now := time.Now()
	mayWait := r.Status == backend.StatusOK && q.Request.Deadline.Sub(now) > resultBatchMargin
	result := forwarding.Result{ID: q.Request.ID, Result: r, Waited: q.waited, Returned: now}
	wait := resultBatchDelay
	if q.Request.Message != nil {
		result.Limit, result.TrimTo = q.Request.Limit, q.TrimTo
		wait = q.MergeWait
		mayWait = mayWait && result.Limit > 0 && wait > 0
	}
	if f.forwards.QueueResult(to, result, mayWait) {
		f.d.Timer.Schedule(now.Add(wait), func() { f.forwards.Flush(to.Instance) })
	}
}

// WaitForwarded waits until the sub-requests that this daemon sends for others have ended and their results were
// delivered, or until ctx is done. Once all of them have ended, this daemon accepts no further ones.
func (d *Dispatcher) WaitForwarded(ctx context.Context) {
	if d.forwarding == nil {
		return
	}
	select {
	case <-d.forwarding.forwards.DrainInbound():
	case <-ctx.Done():
	}
}

// close stops the senders after all queued batches were sent.
func (f *Forwarding) close() {
	f.delegated.Close()
	for _, p := range f.gatherWorkers {
		p.Wait()
	}
	f.forwards.Close()
	f.senders.Wait()
}
