package tables

import (
	"sync"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// maxBatch is the maximum number of queries, of results and of cancellations in one batch.
	maxBatch = 64
	// maxBatchesPerPeer is the maximum number of batches in flight to one peer, so that a peer that does not answer blocks
	// few workers.
	maxBatchesPerPeer = 16
)

// Pending is a sub-request that was forwarded and has not ended. OnResult is called at most once: with the result, or with
// the status of a lost sub-request. It is not called after a successful Cancel.
type Pending struct {
	Peer     model.Member
	OnResult func(forwarding.Result)
}

// Forwards holds the sub-requests, results and cancellations to send to other daemons, and the sub-requests that wait for
// results. Invariant: an attempt is in pending from Forward until its result, its cancellation or the loss of its peer.
// Owner: dispatch.
type Forwards struct {
	mu      lockorder.Mutex
	cond    *sync.Cond
	outbox  map[model.InstanceID]*outbox
	ready   []*outbox
	pending map[backend.AttemptID]Pending
	// inbound holds the sub-requests that this daemon sends to backend servers on behalf of other daemons, and
	// inboundPerQuery the number of them for each query.
	inbound         map[backend.AttemptID]inboundQuery
	inboundPerQuery map[queryKey]int
	// undeliveredResults counts the results for other daemons that are queued or in flight.
	undeliveredResults int
	// inboundDrained is nil until DrainInbound is called. It is closed once inbound is empty and undeliveredResults is 0.
	// From then on inboundClosed is true and no sub-request is accepted.
	inboundDrained chan struct{}
	inboundClosed  bool
	closed         bool
}

// inboundQuery is a sub-request that this daemon sends on behalf of another one, with the function that cancels it.
type inboundQuery struct {
	query  queryKey
	cancel func()
}

// queryKey identifies a query of another daemon.
type queryKey struct {
	peer    model.InstanceID
	request model.RequestID
}

// outbox holds what is to be sent to one peer.
type outbox struct {
	peer  model.Member
	batch forwarding.Batch
	// preconnect requests a batch even if it is empty.
	preconnect bool
	// retryResults holds the results of failed batches for their second and last delivery attempt.
	retryResults   []forwarding.Result
	sendingBatches int
	queued         bool
	// due means that the content is to be sent without waiting for more. flushPending means that a caller of QueueResult
	// will call Flush.
	due          bool
	flushPending bool
}

// NewForwards returns an empty table.
func NewForwards() *Forwards {
	f := &Forwards{
		mu:      lockorder.New(OrderForwards),
		outbox:  map[model.InstanceID]*outbox{},
		pending: map[backend.AttemptID]Pending{},
		inbound: map[backend.AttemptID]inboundQuery{},

		inboundPerQuery: map[queryKey]int{},
	}
	f.cond = sync.NewCond(&f.mu)
	return f
}

// OutboundQuery is a sub-request to forward, with its entry in the list of pending ones.
type OutboundQuery struct {
	Query   forwarding.Query
	Pending Pending
}

// Forward queues sub-requests for their owners. It queues the whole list under one lock, so that sub-requests with the same
// owner share batches.
func (f *Forwards) Forward(list []OutboundQuery) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range list {
		f.pending[list[i].Query.Request.ID] = list[i].Pending
		box := f.outboxFor(list[i].Pending.Peer)
		box.batch.Queries = append(box.batch.Queries, list[i].Query)
		f.markDue(box)
	}
}

// Preconnect queues a batch for the peer even if there is nothing to send, so that a connection to it is opened.
func (f *Forwards) Preconnect(peer model.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	box := f.outboxFor(peer)
	box.preconnect = true
	f.markDue(box)
}

// QueueResult queues a result for the daemon that forwarded the sub-request. With mayWait, the result is held back for
// further results while other sub-requests of the same query are in progress here; it is then sent with the next item for
// the daemon that is not held back. QueueResult reports whether the caller must call Flush after the time that a result may
// wait.
func (f *Forwards) QueueResult(to model.Member, r forwarding.Result, mayWait bool) (flush bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.undeliveredResults++
	f.removeInbound(r.ID)
	box := f.outboxFor(to)
	box.batch.Results = append(box.batch.Results, r)
	last := f.inboundPerQuery[queryKey{to.Instance, r.ID.Request}] == 0
	if !mayWait || last || f.closed || len(box.batch.Results) >= maxBatch {
		f.markDue(box)
		return false
	}
	flush = !box.flushPending
	box.flushPending = true
	return flush
}

// Flush makes the results that were held back for a peer available to a sender.
func (f *Forwards) Flush(peer model.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	box := f.outbox[peer]
	if box == nil {
		return
	}
	box.flushPending = false
	f.markDue(box)
}

// Cancel removes a pending sub-request and queues its cancellation. It reports whether the sub-request was pending.
func (f *Forwards) Cancel(id backend.AttemptID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pending[id]
	if !ok {
		return false
	}
	delete(f.pending, id)
	box := f.outboxFor(p.Peer)
	box.batch.Cancels = append(box.batch.Cancels, id)
	f.markDue(box)
	return true
}

// Accept records a sub-request that this daemon sends on behalf of another one, with the function that cancels it. It
// returns false once the inbound sub-requests are drained; see DrainInbound.
func (f *Forwards) Accept(from model.InstanceID, id backend.AttemptID, cancel func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inboundClosed {
		return false
	}
	query := queryKey{from, id.Request}
	// A batch is delivered again if its receipt was lost.
	if _, known := f.inbound[id]; !known {
		f.inboundPerQuery[query]++
	}
	f.inbound[id] = inboundQuery{query: query, cancel: cancel}
	return true
}

// TakeInbound removes an accepted sub-request and returns the function that cancels it, or nil if there is none.
func (f *Forwards) TakeInbound(id backend.AttemptID) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	cancel := f.inbound[id].cancel
	f.removeInbound(id)
	return cancel
}

// InProgress returns those of the given sub-requests that were accepted and have neither ended nor been cancelled.
func (f *Forwards) InProgress(ids []backend.AttemptID) []backend.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []backend.AttemptID
	for _, id := range ids {
		if _, ok := f.inbound[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

func (f *Forwards) removeInbound(id backend.AttemptID) {
	if in, ok := f.inbound[id]; ok {
		delete(f.inbound, id)
		f.inboundPerQuery[in.query]--
		if f.inboundPerQuery[in.query] == 0 {
			delete(f.inboundPerQuery, in.query)
		}
	}
	f.checkInboundDrained()
}

// checkInboundDrained closes inboundDrained once. Afterwards a result may still be queued, if a cancellation was received
// while its sub-request was ending.
func (f *Forwards) checkInboundDrained() {
	if f.inboundDrained == nil || f.inboundClosed || len(f.inbound) > 0 || f.undeliveredResults > 0 {
		return
	}
	f.inboundClosed = true
	close(f.inboundDrained)
}

// DrainInbound returns a channel that is closed once no sub-request of another daemon is in progress and all results are
// delivered. From then on Accept refuses sub-requests, since this daemon could stop before it delivers their results.
// DrainInbound must be called at most once.
func (f *Forwards) DrainInbound() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inboundDrained = make(chan struct{})
	f.checkInboundDrained()
	return f.inboundDrained
}

// TakePending removes and returns the pending sub-request of a result. It returns false if there is none, because the
// result is late or belongs to no sub-request of this daemon.
func (f *Forwards) TakePending(id backend.AttemptID) (Pending, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pending[id]
	delete(f.pending, id)
	return p, ok
}

// TakePendingAt removes and returns all sub-requests that are pending at a peer.
func (f *Forwards) TakePendingAt(peer model.InstanceID) map[backend.AttemptID]Pending {
	return f.takePendingWhere(func(p model.Member) bool { return p.Instance == peer })
}

// TakePendingInZone removes and returns all sub-requests that are pending at peers in a zone.
func (f *Forwards) TakePendingInZone(zone model.AvailabilityZone) map[backend.AttemptID]Pending {
	return f.takePendingWhere(func(p model.Member) bool { return p.Zone == zone })
}

func (f *Forwards) takePendingWhere(selected func(model.Member) bool) map[backend.AttemptID]Pending {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := map[backend.AttemptID]Pending{}
	for id, p := range f.pending {
		if selected(p.Peer) {
			taken[id] = p
			delete(f.pending, id)
		}
	}
	return taken
}

// OutboundBatch is a batch to send. After sending it, the sender must call Sent or SendFailed.
type OutboundBatch struct {
	To    model.Member
	Batch forwarding.Batch
	// retriedResults is the number of results, at the start of the list, whose first delivery failed.
	retriedResults int
}

// Take blocks until there is a batch to send. It returns false once the table is closed and nothing is left to send.
func (f *Forwards) Take() (s OutboundBatch, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.ready) == 0 {
		if f.closed {
			return s, false
		}
		f.cond.Wait()
	}
	box := f.ready[0]
	f.ready = f.ready[1:]
	box.queued = false
	box.sendingBatches++
	s = box.take()
	f.enqueue(box)
	return s, true
}

// Sent records that a batch was delivered, or that it was dropped and is not to be retried.
func (f *Forwards) Sent(s OutboundBatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endSending(s, len(s.Batch.Results))
}

// SendFailed records that the delivery of a batch failed. Its results are queued once more, because a peer that was paused
// during the delivery still waits for them. Its sub-requests and cancellations are dropped.
func (f *Forwards) SendFailed(s OutboundBatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	box := f.outbox[s.To.Instance]
	box.retryResults = append(box.retryResults, s.Batch.Results[s.retriedResults:]...)
	box.due = box.due || len(box.retryResults) > 0
	f.endSending(s, s.retriedResults)
}

// endSending ends the delivery of a batch. results is the number of its results that are not queued again.
func (f *Forwards) endSending(s OutboundBatch, results int) {
	f.undeliveredResults -= results
	f.checkInboundDrained()
	box := f.outbox[s.To.Instance]
	box.sendingBatches--
	f.enqueue(box)
	if box.sendingBatches == 0 && !box.queued && !box.flushPending && box.empty() {
		// Idle outboxes would accumulate: a large fleet starts thousands of instances a day, each under a new name.
		delete(f.outbox, s.To.Instance)
	}
}

// Close makes Take return false once the outboxes are empty. Results that are held back are sent at once.
func (f *Forwards) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, box := range f.outbox {
		f.markDue(box)
	}
	f.cond.Broadcast()
}

func (f *Forwards) outboxFor(peer model.Member) *outbox {
	box := f.outbox[peer.Instance]
	if box == nil {
		box = &outbox{}
		f.outbox[peer.Instance] = box
	}
	box.peer = peer
	return box
}

// markDue makes everything in an outbox available to a sender.
func (f *Forwards) markDue(box *outbox) {
	box.due = !box.empty()
	f.enqueue(box)
}

// enqueue makes an outbox available to a sender if it has due content and fewer than maxBatchesPerPeer batches in flight.
func (f *Forwards) enqueue(box *outbox) {
	if box.queued || box.sendingBatches >= maxBatchesPerPeer || !box.due {
		return
	}
	box.queued = true
	f.ready = append(f.ready, box)
	f.cond.Signal()
}

func (b *outbox) empty() bool {
	return !b.preconnect && len(b.retryResults) == 0 &&
		len(b.batch.Queries) == 0 && len(b.batch.Results) == 0 && len(b.batch.Cancels) == 0
}

// take removes at most maxBatch entries of each kind and returns them as a batch.
func (b *outbox) take() OutboundBatch {
	var out forwarding.Batch
	b.preconnect = false
	out.Queries, b.batch.Queries = splitAt(b.batch.Queries, maxBatch)
	out.Cancels, b.batch.Cancels = splitAt(b.batch.Cancels, maxBatch)
	out.Results, b.retryResults = splitAt(b.retryResults, maxBatch)
	retried := len(out.Results)
	var fresh []forwarding.Result
	fresh, b.batch.Results = splitAt(b.batch.Results, maxBatch-retried)
	out.Results = append(out.Results, fresh...)
	b.due = !b.empty()
	return OutboundBatch{To: b.peer, Batch: out, retriedResults: retried}
}

func splitAt[T any](list []T, size int) (head, tail []T) {
	if len(list) <= size {
		return list, nil
	}
	return list[:size:size], list[size:]
}
