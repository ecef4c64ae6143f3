package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Admissions holds one admission queue for each service. Owner: dispatch.
type Admissions struct {
	mu      lockorder.Mutex
	queues  map[model.ServiceName]*admission.Queue
	tickets map[*admission.Waiter]*Ticket
	// wakes holds the time for which an Advance of a service is scheduled, so that only one is at a time.
	wakes    map[model.ServiceName]time.Time
	draining bool
}

// Ticket is a request's place in a queue.
type Ticket struct {
	waiter  admission.Waiter
	service model.ServiceName
	ready   chan admission.Decision
}

// Decision returns the channel that receives the one decision about the request.
func (t *Ticket) Decision() <-chan admission.Decision { return t.ready }

// NewAdmissions returns an empty table.
func NewAdmissions() *Admissions {
	return &Admissions{
		mu:      lockorder.New(OrderAdmissions),
		queues:  map[model.ServiceName]*admission.Queue{},
		tickets: map[*admission.Waiter]*Ticket{},
		wakes:   map[model.ServiceName]time.Time{},
	}
}

// Configure sets the policy of a service's queue, and makes the queue if there is none.
func (t *Admissions) Configure(service model.ServiceName, cfg admission.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		q.SetConfig(cfg)
		return
	}
	t.queues[service] = admission.New(cfg)
}

// SetLimit changes the number of requests of the service that are admitted at a time.
func (t *Admissions) SetLimit(service model.ServiceName, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		q.SetLimit(limit)
	}
}

// Arrive queues a request. The decision arrives on the ticket's channel, at once if the request need not wait.
func (t *Admissions) Arrive(service model.ServiceName, w admission.Waiter, now time.Time) *Ticket {
	ticket := &Ticket{waiter: w, service: service, ready: make(chan admission.Decision, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[service]
	if q == nil || t.draining {
		ticket.ready <- admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDraining}
		return ticket
	}
	d := q.Arrive(&ticket.waiter, now)
	if d.Verdict == admission.Queued {
		t.tickets[&ticket.waiter] = ticket
		return ticket
	}
	ticket.ready <- d
	return ticket
}

// Finish ends an admitted request, with the slowdown that it saw or 0, and admits the next ones. It returns when Advance
// is due; zero if it is not.
func (t *Admissions) Finish(ticket *Ticket, slowdown float64, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[ticket.service]
	q.Finish(&ticket.waiter, slowdown, now)
	t.advance(q, now)
	return t.wakeAt(ticket.service, q)
}

// Advance admits requests that were spaced in time. It returns when it is due again; zero if it is not.
func (t *Admissions) Advance(service model.ServiceName, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[service]
	if q == nil {
		return time.Time{}
	}
	delete(t.wakes, service)
	t.advance(q, now)
	return t.wakeAt(service, q)
}

// ScheduleAdvance returns when Advance is due after an arrival; zero if it is not, or is scheduled already.
func (t *Admissions) ScheduleAdvance(service model.ServiceName) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[service]; q != nil {
		return t.wakeAt(service, q)
	}
	return time.Time{}
}

func (t *Admissions) wakeAt(service model.ServiceName, q *admission.Queue) time.Time {
	at := q.WakeAt()
	scheduled, ok := t.wakes[service]
	if at.IsZero() || (ok && !scheduled.After(at)) {
		return time.Time{}
	}
	t.wakes[service] = at
	return at
}

// Abandon withdraws a request and tells whether it was still waiting; if not, its decision is on the channel.
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

// Drain refuses everything that waits and everything that arrives from now on.
func (t *Admissions) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for w, ticket := range t.tickets {
		t.queues[ticket.service].Abandon(w)
		ticket.ready <- admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDraining}
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

// advance admits and refuses waiting requests. Tickets' channels have room for their one decision, so sends do not block.
func (t *Admissions) advance(q *admission.Queue, now time.Time) {
	admitted, refused := q.Next(now, nil, nil)
	for _, w := range admitted {
		t.tickets[w].ready <- admission.Decision{Verdict: admission.Admitted}
		delete(t.tickets, w)
	}
	for _, w := range refused {
		t.tickets[w].ready <- admission.Decision{
			Verdict:    admission.Refused,
			Reason:     admission.ReasonQueueTime,
			RetryAfter: q.RetryAfter(w.Rank),
		}
		delete(t.tickets, w)
	}
}
