package dispatch

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Admission is one request's passage through its service's queue.
type Admission struct {
	admission.Decision
	ticket *tables.Ticket
}

// Admitted tells whether the request may start. If so, FinishRequest must be called when it ends.
func (a *Admission) Admitted() bool { return a.Verdict == admission.Admitted }

// Admit waits until the request is admitted or refused, at most for maxQueue (0 means until the deadline) and while ctx
// lasts.
func (d *Dispatcher) Admit(
	ctx context.Context, service model.ServiceName, w admission.Waiter, maxQueue time.Duration,
) Admission {
	a := d.enter(ctx, service, w, maxQueue)
	if !a.Admitted() {
		d.cfg.Metrics.Refusal(service, w.Rank, string(a.Reason))
	}
	return a
}

func (d *Dispatcher) enter(
	ctx context.Context, service model.ServiceName, w admission.Waiter, maxQueue time.Duration,
) Admission {
	now := time.Now()
	ticket := d.Admissions.Arrive(service, w, now)
	select {
	case decision := <-ticket.Decision():
		return Admission{Decision: decision, ticket: ticket}
	default:
	}
	d.advanceAt(service, d.Admissions.ScheduleAdvance(service))
	wait := w.Deadline.Sub(now)
	if maxQueue > 0 {
		wait = min(wait, maxQueue)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case decision := <-ticket.Decision():
		return Admission{Decision: decision, ticket: ticket}
	case <-timeout.C:
	case <-ctx.Done():
	}
	return Admission{Decision: d.abandon(ticket, service, w.Rank), ticket: ticket}
}

// abandon withdraws a request that waited too long. If it was decided on in the meantime, the decision stands.
func (d *Dispatcher) abandon(ticket *tables.Ticket, service model.ServiceName, rank model.Rank) admission.Decision {
	if !d.Admissions.Abandon(ticket) {
		return <-ticket.Decision()
	}
	return admission.Decision{
		Verdict:    admission.Refused,
		Reason:     admission.ReasonQueueTime,
		RetryAfter: d.Admissions.RetryAfter(service, rank),
	}
}

// FinishRequest ends an admitted request, with the slowdown that it saw at the servers, or 0 if it saw none.
func (d *Dispatcher) FinishRequest(service model.ServiceName, a Admission, slowdown float64) {
	d.advanceAt(service, d.Admissions.Finish(a.ticket, slowdown, time.Now()))
}

// advanceAt has the service's queue advanced at the given time, unless it is zero.
func (d *Dispatcher) advanceAt(service model.ServiceName, at time.Time) {
	if at.IsZero() {
		return
	}
	d.Timer.Schedule(at, func() { d.advanceAt(service, d.Admissions.Advance(service, time.Now())) })
}
