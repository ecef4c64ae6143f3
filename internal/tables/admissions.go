package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Admissions holds one admission queue per service. Owner: dispatch.
type Admissions struct {
	mu      lockorder.Mutex
	queues  map[model.ServiceName]*admission.Queue
	tickets map[*admission.Waiter]*Ticket
	// advanceDue is the time of each service's scheduled Advance. A service has one scheduled Advance, unless an earlier
	// time comes up.
	advanceDue map[model.ServiceName]time.Time
	draining   bool
}

// Ticket identifies a request in an admission queue.
type Ticket struct {
	waiter   admission.Waiter
	service  model.ServiceName
	decision chan admission.Decision
}

// Decision returns the channel on which the decision about the request is sent, exactly once.
func (t *Ticket) Decision() <-chan admission.Decision { return t.decision }

// NewAdmissions returns an empty table.
func NewAdmissions() *Admissions {
	return &Admissions{
		mu:         lockorder.New(OrderAdmissions),
		queues:     map[model.ServiceName]*admission.Queue{},
		tickets:    map[*admission.Waiter]*Ticket{},
		advanceDue: map[model.ServiceName]time.Time{},
	}
}

// Configure sets the policy of a service's queue and creates the queue if there is none.
func (t *Admissions) Configure(service model.ServiceName, cfg admission.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		q.SetConfig(cfg)
		return
	}
	t.queues[service] = admission.New(cfg)
}

// SetLimit sets the number of requests of the service that may run concurrently.
func (t *Admissions) SetLimit(service model.ServiceName, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		q.SetLimit(limit)
	}
}

// Submit decides on a new request or queues it. The decision is sent on the ticket's channel, before Submit returns if the
// request need not wait.
func (t *Admissions) Submit(service model.ServiceName, w admission.Waiter, now time.Time) *Ticket {
	ticket := &Ticket{waiter: w, service: service, decision: make(chan admission.Decision, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[service]
	if q == nil || t.draining {
		ticket.decision <- admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDraining}
		return ticket
	}
	d := q.Submit(&ticket.waiter, now)
	if d.Verdict == admission.Queued {
		t.tickets[&ticket.waiter] = ticket
		return ticket
	}
	ticket.decision <- d
	return ticket
}

// Finish records the end of an admitted request and admits the next ones. slowdown is the ratio of latency to uncongested
// latency that the request observed, or 0 if there is none. Finish returns the time at which the caller must schedule
// Advance, or the zero time if it need not.
func (t *Admissions) Finish(ticket *Ticket, slowdown float64, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[ticket.service]
	q.Finish(&ticket.waiter, slowdown, now)
	t.advance(q, now)
	return t.nextAdvance(ticket.service, q)
}

// Advance admits requests whose start was delayed by pacing. It returns the time at which the caller must schedule the next
// Advance, or the zero time if it need not.
func (t *Admissions) Advance(service model.ServiceName, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[service]
	if q == nil {
		return time.Time{}
	}
	delete(t.advanceDue, service)
	t.advance(q, now)
	return t.nextAdvance(service, q)
}

// ScheduleAdvance returns the time at which the caller must schedule Advance after an arrival. It returns the zero time if
// no Advance is needed or one is scheduled already.
func (t *Admissions) ScheduleAdvance(service model.ServiceName) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		return t.nextAdvance(service, q)
	}
	return time.Time{}
}

// nextAdvance records and returns the time of the next Advance, or returns the zero time if none is needed or one is
// scheduled early enough.
func (t *Admissions) nextAdvance(service model.ServiceName, q *admission.Queue) time.Time {
	at := q.WakeAt()
	scheduled, ok := t.advanceDue[service]
	if at.IsZero() || (ok && !scheduled.After(at)) {
		return time.Time{}
	}
	t.advanceDue[service] = at
	return at
}

// Abandon removes a waiting request and reports whether it was still waiting. If not, its decision is on the channel.
func (t *Admissions) Abandon(ticket *Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[ticket.service]
	if q == nil || !q.Abandon(&ticket.waiter) {
		return false
	}
	delete(t.tickets, &ticket.waiter)
	return true
}

// RetryAfter returns the time after which a refused request may be admitted.
func (t *Admissions) RetryAfter(service model.ServiceName, r model.Rank) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		return q.RetryAfter(r)
	}
	return 0
}

// Drain refuses all waiting requests and all later arrivals.
func (t *Admissions) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for w, ticket := range t.tickets {
		t.queues[ticket.service].Abandon(w)
		ticket.decision <- admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDraining}
		delete(t.tickets, w)
	}
}

// Running returns the number of admitted requests of all services.
func (t *Admissions) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, q := range t.queues {
		n += q.Running()
	}
	return n
}

// advance admits and refuses waiting requests. The sends do not block: each ticket's channel has a buffer of one and
// receives one decision.
func (t *Admissions) advance(q *admission.Queue, now time.Time) {
	admitted, refused := q.AdmitWaiting(now, nil, nil)
	for _, w := range admitted {
		t.tickets[w].decision <- admission.Decision{Verdict: admission.Admitted}
		delete(t.tickets, w)
	}
	for _, w := range refused {
		t.tickets[w].decision <- admission.Decision{
			Verdict:    admission.Refused,
			Reason:     admission.ReasonQueueTime,
			RetryAfter: q.RetryAfter(w.Rank),
		}
		delete(t.tickets, w)
	}
}
