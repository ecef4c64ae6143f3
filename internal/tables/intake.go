package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/intake"
	"oleandersill.example/oleandersill/internal/lockorder"
)

// Evictable is a connection that can be closed in favor of others.
type Evictable interface {
	// Evict closes the connection at once.
	Evict(cause intake.Cause)
}

// Intake holds the connections of a port, and what each of them holds in memory. Owner: platform/ingress.
type Intake struct {
	mu     lockorder.Mutex
	budget *intake.Budget
	owners map[*intake.Conn]Evictable
}

// NewIntake returns a table without connections.
func NewIntake(limits intake.Limits) *Intake {
	return &Intake{
		mu: lockorder.New(OrderIntake), budget: intake.NewBudget(limits), owners: map[*intake.Conn]Evictable{},
	}
}

// Open adds a connection and evicts others for it if needed. It returns the cause for which the connection must be closed unless
// opened is true.
func (t *Intake) Open(c *intake.Conn, owner Evictable, now time.Time) (cause intake.Cause, opened bool) {
	t.mu.Lock()
	closed, cause, opened := t.budget.Open(c, now)
	if opened {
		t.owners[c] = owner
	}
	evicted := t.takeOwners(closed)
	t.mu.Unlock()
	evictAll(evicted, cause)
	return cause, opened
}

// Hold sets the memory that a connection holds in addition to that of an idle one, and records bytes that it has received. It evicts
// other connections if needed, and returns false if the memory does not fit or the connection was evicted.
func (t *Intake) Hold(c *intake.Conn, bytes, received int64, now time.Time) bool {
	t.mu.Lock()
	t.budget.Moved(c, received)
	closed, fits := t.budget.Hold(c, bytes, now)
	evicted := t.takeOwners(closed)
	t.mu.Unlock()
	evictAll(evicted, intake.CauseMemory)
	return fits
}

// Moved records that bytes of a request arrived, or that bytes of a response were sent.
func (t *Intake) Moved(c *intake.Conn, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Moved(c, bytes)
}

// Enter begins a phase of a connection. It returns false if the connection was evicted.
func (t *Intake) Enter(c *intake.Conn, phase intake.Phase, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Enter(c, phase, now)
}

// Close removes a connection. It has no effect if the connection was evicted or removed before.
func (t *Intake) Close(c *intake.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Close(c)
	delete(t.owners, c)
}

// takeOwners returns the owners of closed connections and removes them from the table.
func (t *Intake) takeOwners(closed []*intake.Conn) []Evictable {
	if len(closed) == 0 {
		return nil
	}
	evicted := make([]Evictable, len(closed))
	for i, c := range closed {
		evicted[i] = t.owners[c]
		delete(t.owners, c)
	}
	return evicted
}

// evictAll closes connections. No lock is held.
func evictAll(evicted []Evictable, cause intake.Cause) {
	for _, e := range evicted {
		e.Evict(cause)
	}
}
