package dispatch

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/tables"
)

// Drain ends all attempts that wait for capacity at a server, as not run, and no attempt waits from then on. No attempt of a
// non-idempotent request is sent any longer. Attempts that were sent go on, and idempotent ones are still sent to servers that
// have capacity, so that the answers in progress become complete.
func (d *Dispatcher) Drain() {
	d.drainOnce.Do(func() {
		close(d.draining)
		for _, s := range d.Servers.All() {
			s.RejectWaiting()
		}
	})
}

// Draining reports whether Drain was called.
func (d *Dispatcher) Draining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// submit acquires capacity at the server for the attempt and queues it for a worker. If the server has none, the attempt is
// queued in the server's record.
func (d *Dispatcher) submit(a *tables.Attempt) {
	if a.Server.Acquire(a) {
		d.ready.Push(a)
		return
	}
	// The attempt is queued before the check: what rejects the waiting attempts either finds this one or is seen here.
	if (d.Draining() || !a.Server.Sendable()) && a.Server.RemoveWaiting(a) {
		d.rejectLater(a)
	}
}

// rejectLater has a worker reject an attempt that acquired no capacity. The caller may hold a lock that the end of the attempt needs.
func (d *Dispatcher) rejectLater(a *tables.Attempt) {
	d.ready.Push(&tables.Attempt{Server: a.Server, Rank: a.Rank, Run: a.Reject})
}

// unsentStatus is the status of attempts that this daemon did not send. It costs no server anything, so the request may be sent to
// another one without a charge to a budget.
const unsentStatus = backend.StatusBusy

// refusalOf returns the result of an attempt that must not be sent, because the server is leaving, its record is retired or it
// wants no requests at now. It returns false if the attempt may be sent. A daemon that forwarded the attempt learns from the
// result that the server is leaving.
func refusalOf(s *tables.Server, now time.Time) (backend.QueryResult, bool) {
	r := backend.QueryResult{Status: unsentStatus}
	if !s.Sendable() {
		r.Reply.Load.Draining = s.Leaving()
		return r, true
	}
	r.RetryAfter = s.Pushback(now)
	return r, r.RetryAfter > 0
}
