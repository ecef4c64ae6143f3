package dispatch

import (
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
			rejectAll(s.TakeWaiting())
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

func rejectAll(attempts []*tables.Attempt) {
	for _, a := range attempts {
		a.Reject()
	}
}

// submit acquires capacity at the server for the attempt and queues it for a worker. If the server has none, the attempt is
// queued in the server's record.
func (d *Dispatcher) submit(a *tables.Attempt) {
	if a.Server.Acquire(a) {
		d.ready.Push(a)
		return
	}
	// The attempt is queued before the check: Drain takes either this attempt or is seen here.
	if d.Draining() && a.Server.RemoveWaiting(a) {
		// The caller of submit may hold a lock that the end of the attempt needs.
		d.ready.Push(&tables.Attempt{Server: a.Server, Rank: a.Rank, Run: a.Reject})
	}
}

// unsentStatus is the status of attempts that were removed from a server's queue.
const unsentStatus = backend.StatusBusy
