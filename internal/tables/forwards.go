package tables

import (
	"sync"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// maxBatch bounds the queries, results and cancellations that one message carries.
	maxBatch = 64
	// maxBatchesPerPeer bounds the messages on their way to one peer at a time, so that a peer that does not answer holds
	// few workers.
	maxBatchesPerPeer = 16
)

// Pending is a sub-request that was forwarded and has not ended. End is called once, with its result or with the status
// of a lost one.
type Pending struct {
	Peer     model.Member
	OnResult func(forwarding.Result)
}

// Forwards holds what goes to other daemons and what is expected back. Owner: dispatch. Invariant: an attempt is in
// pending from Forward until its result, its withdrawal or the loss of its peer.
type Forwards struct {
	mu      lockorder.Mutex
	cond    *sync.Cond
	outbox  map[model.InstanceID]*outbox
	ready   []*outbox
	pending map[backend.AttemptID]Pending
	// inbound holds the sub-requests that this daemon sends for others, and siblings how many of them each query has.
	inbound  map[backend.AttemptID]inbound
	siblings map[queryKey]int
	// returning counts the results for other daemons that are queued or on their way.
	returning int
	// retiring, unless nil, is closed once inbound is empty and no result is returning. From then on retired is true and
	// nothing is accepted.
	retiring chan struct{}
	retired  bool
	closed   bool
}

// inbound is a sub-request that this daemon sends for another, and how to cancel it.
type inbound struct {
	query  queryKey
	cancel func()
}

// queryKey names a query of another daemon.
type queryKey struct {
	peer    model.InstanceID
	request model.RequestID
}

type outbox struct {
	peer  model.Member
	batch forwarding.Batch
	// preconnect asks for a batch even if it is empty.
	preconnect bool
	// again holds results that could not be delivered, for their second and last try.
	again   []forwarding.Result
	sending int
	queued  bool
	// due tells that the content need not wait for more, and collecting that a call of Flush will follow.
	due        bool
	collecting bool
}

// NewForwards returns an empty table.
func NewForwards() *Forwards {
	f := &Forwards{
		mu:      lockorder.New(OrderForwards),
		outbox:  map[model.InstanceID]*outbox{},
		pending: map[backend.AttemptID]Pending{},
		inbound: map[backend.AttemptID]inbound{},

		siblings: map[queryKey]int{},
	}
	f.cond = sync.NewCond(&f.mu)
	return f
}

// OutboundQuery is a sub-request to forward. Pending.End is called when it ends.
type OutboundQuery struct {
	Query   forwarding.Query
	Pending Pending
}

// Forward queues sub-requests for their owners. No sender can take a part of them, so that those with the same owner share
// batches.
func (f *Forwards) Forward(list []OutboundQuery) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range list {
		f.pending[list[i].Query.Request.ID] = list[i].Pending
		box := f.box(list[i].Pending.Peer)
		box.batch.Queries = append(box.batch.Queries, list[i].Query)
		f.offer(box)
	}
}

// Preconnect queues a batch for the peer, an empty one if nothing else goes there.
func (f *Forwards) Preconnect(peer model.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	box := f.box(peer)
	box.preconnect = true
	f.offer(box)
}

// QueueResult queues a result for the daemon that forwarded the sub-request. With mayWait, the result is held back for further
// ones while other sub-requests of the same query are under way here; it then goes with whatever is queued next for the
// daemon without being held back. QueueResult tells whether the caller must call Flush after the time that a result may wait.
func (f *Forwards) QueueResult(to model.Member, r forwarding.Result, mayWait bool) (flush bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returning++
	f.removeInbound(r.ID)
	box := f.box(to)
	box.batch.Results = append(box.batch.Results, r)
	last := f.siblings[queryKey{to.Instance, r.ID.Request}] == 0
	if !mayWait || last || f.closed || len(box.batch.Results) >= maxBatch {
		f.offer(box)
		return false
	}
	flush = !box.collecting
	box.collecting = true
	return flush
}

// Flush lets the results for a peer go that were held back.
func (f *Forwards) Flush(peer model.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	box := f.outbox[peer]
	if box == nil {
		return
	}
	box.collecting = false
	f.offer(box)
}

// Cancel forgets a pending sub-request and queues its cancellation, and tells whether it was pending.
func (f *Forwards) Cancel(id backend.AttemptID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pending[id]
	if !ok {
		return false
	}
	delete(f.pending, id)
	box := f.box(p.Peer)
	box.batch.Cancels = append(box.batch.Cancels, id)
	f.offer(box)
	return true
}

// Accept records a sub-request that this daemon sends for another, with the way to cancel it. It returns false once this
// daemon has retired.
func (f *Forwards) Accept(from model.InstanceID, id backend.AttemptID, cancel func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retired {
		return false
	}
	query := queryKey{from, id.Request}
	// A batch whose receipt was lost comes twice.
	if _, again := f.inbound[id]; !again {
		f.siblings[query]++
	}
	f.inbound[id] = inbound{query: query, cancel: cancel}
	return true
}

// TakeInbound removes a sub-request that was accepted and returns the way to cancel it, or nil.
func (f *Forwards) TakeInbound(id backend.AttemptID) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	cancel := f.inbound[id].cancel
	f.removeInbound(id)
	return cancel
}

func (f *Forwards) removeInbound(id backend.AttemptID) {
	if in, ok := f.inbound[id]; ok {
		delete(f.inbound, id)
		f.siblings[in.query]--
		if f.siblings[in.query] == 0 {
			delete(f.siblings, in.query)
		}
	}
	f.checkRetired()
}

// checkRetired ends Retire's wait once. A cancellation that crosses its result may queue a result later still.
func (f *Forwards) checkRetired() {
	if f.retiring == nil || f.retired || len(f.inbound) > 0 || f.returning > 0 {
		return
	}
	f.retired = true
	close(f.retiring)
}

// DrainInbound returns a channel that is closed once this daemon sends no sub-request for others and has delivered all results.
// From then on it accepts none, since it could end before it delivers the result. Call it once.
func (f *Forwards) DrainInbound() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retiring = make(chan struct{})
	f.checkRetired()
	return f.retiring
}

// TakePending takes the pending sub-request of a result, or false if there is none: the result is late or crossed.
func (f *Forwards) TakePending(id backend.AttemptID) (Pending, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pending[id]
	delete(f.pending, id)
	return p, ok
}

// TakePendingAt takes all sub-requests that are pending at a peer.
func (f *Forwards) TakePendingAt(peer model.InstanceID) map[backend.AttemptID]Pending {
	return f.lose(func(p model.Member) bool { return p.Instance == peer })
}

// TakePendingInZone takes all sub-requests that are pending at peers of a zone.
func (f *Forwards) TakePendingInZone(zone model.AvailabilityZone) map[backend.AttemptID]Pending {
	return f.lose(func(p model.Member) bool { return p.Zone == zone })
}

func (f *Forwards) lose(selected func(model.Member) bool) map[backend.AttemptID]Pending {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := map[backend.AttemptID]Pending{}
	for id, p := range f.pending {
		if selected(p.Peer) {
			lost[id] = p
			delete(f.pending, id)
		}
	}
	return lost
}

// OutboundBatch is a batch that a sender took. The sender ends it with Sent or SendFailed.
type OutboundBatch struct {
	To    model.Member
	Batch forwarding.Batch
	// retried is the number of results, the first ones of the batch, that could not be delivered before.
	retried int
}

// Take waits for a batch to send. It returns false once the table is closed and nothing is left to send.
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
	box.sending++
	s = box.take()
	f.enqueue(box)
	return s, true
}

// Sent records that a batch was delivered, or that nothing of it is worth another try.
func (f *Forwards) Sent(s OutboundBatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endSending(s, len(s.Batch.Results))
}

// SendFailed records that a batch failed. Its results are queued once more: a daemon that was paused still waits for them,
// although it lost what it had sent. Sub-requests and cancellations are not.
func (f *Forwards) SendFailed(s OutboundBatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	box := f.outbox[s.To.Instance]
	box.again = append(box.again, s.Batch.Results[s.retried:]...)
	box.due = box.due || len(box.again) > 0
	f.endSending(s, s.retried)
}

// endSending ends a batch of which the given number of results need no further try.
func (f *Forwards) endSending(s OutboundBatch, results int) {
	f.returning -= results
	f.checkRetired()
	box := f.outbox[s.To.Instance]
	box.sending--
	f.enqueue(box)
	if box.sending == 0 && !box.queued && !box.collecting && box.empty() {
		// Instances come and go under new names, thousands a day in a large fleet.
		delete(f.outbox, s.To.Instance)
	}
}

// Close lets the senders end once the outboxes are empty. Results that are held back go at once.
func (f *Forwards) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, box := range f.outbox {
		f.offer(box)
	}
	f.cond.Broadcast()
}

func (f *Forwards) box(peer model.Member) *outbox {
	box := f.outbox[peer.Instance]
	if box == nil {
		box = &outbox{}
		f.outbox[peer.Instance] = box
	}
	box.peer = peer
	return box
}

// offer lets everything in a box go.
func (f *Forwards) offer(box *outbox) {
	box.due = !box.empty()
	f.enqueue(box)
}

// enqueue makes a box available to a sender if it has something to send and may.
func (f *Forwards) enqueue(box *outbox) {
	if box.queued || box.sending >= maxBatchesPerPeer || !box.due {
		return
	}
	box.queued = true
	f.ready = append(f.ready, box)
	f.cond.Signal()
}

func (b *outbox) empty() bool {
	return !b.preconnect && len(b.again) == 0 &&
		len(b.batch.Queries) == 0 && len(b.batch.Results) == 0 && len(b.batch.Cancels) == 0
}

// take removes at most maxBatch entries of each kind.
func (b *outbox) take() OutboundBatch {
	var out forwarding.Batch
	b.preconnect = false
	out.Queries, b.batch.Queries = cut(b.batch.Queries, maxBatch)
	out.Cancels, b.batch.Cancels = cut(b.batch.Cancels, maxBatch)
	out.Results, b.again = cut(b.again, maxBatch)
	retried := len(out.Results)
	var fresh []forwarding.Result
	fresh, b.batch.Results = cut(b.batch.Results, maxBatch-retried)
	out.Results = append(out.Results, fresh...)
	b.due = !b.empty()
	return OutboundBatch{To: b.peer, Batch: out, retried: retried}
}

func cut[T any](list []T, size int) (head, tail []T) {
	if len(list) <= size {
		return list, nil
	}
	return list[:size:size], list[size:]
}
