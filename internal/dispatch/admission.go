package dispatch

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Admission is the decision on whether a request may start, together with its place in the admission queue of its service.
type Admission struct {
	admission.Decision
	ticket *tables.Ticket
}

// Admitted reports whether the request may start. If so, FinishRequest must be called when the request ends.
func (a *Admission) Admitted() bool { return a.Verdict == admission.Admitted }

// Admit waits until the request is admitted or refused. The request is refused if it is still queued after maxQueue (0
// means no limit), at its deadline or when ctx is done.
func (d *Dispatcher) Admit(
	ctx context.Context, service model.ServiceName, w admission.Waiter, maxQueue time.Duration,
) Admission {
	a := d.admit(ctx, service, w, maxQueue)
	if !a.Admitted() {
		d.cfg.Metrics.Refusal(service, w.Rank, string(a.Reason))
	}
	return a
}

func (d *Dispatcher) admit(
	ctx context.Context, service model.ServiceName, w admission.Waiter, maxQueue time.Duration,
) Admission {
	now := time.Now()
	ticket := d.Admissions.Submit(service, w, now)
	select {
	case decision := <-ticket.Decision():
		return Admission{Decision: decision, ticket: ticket}
	default:
	}
	d.scheduleAdvance(service, d.Admissions.ScheduleAdvance(service))
	wait := w.Deadline.Sub(now)
	if maxQueue > 0 {
		wait = min(wait, maxQueue)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decision := <-ticket.Decision():
		return Admission{Decision: decision, ticket: ticket}
	case <-timer.C:
	case <-ctx.Done():
	}
	return Admission{Decision: d.abandon(ticket, service, w.Rank), ticket: ticket}
}

// abandon removes a queued request after its wait has timed out or ctx has ended, and returns its refusal. If the request was
// admitted or refused concurrently, abandon returns that decision.
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

// FinishRequest records the end of an admitted request. slowdown is the slowdown of its attempts, or 0 if none was
// observed.
func (d *Dispatcher) FinishRequest(service model.ServiceName, a Admission, slowdown float64) {
	d.scheduleAdvance(service, d.Admissions.Finish(a.ticket, slowdown, time.Now()))
}

// scheduleAdvance schedules the next advance of the service's admission queue, unless at is zero.
func (d *Dispatcher) scheduleAdvance(service model.ServiceName, at time.Time) {
	if at.IsZero() {
		return
	}
	d.Timer.Schedule(at, func() { d.scheduleAdvance(service, d.Admissions.Advance(service, time.Now())) })
}
