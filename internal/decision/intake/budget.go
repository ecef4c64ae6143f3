package intake

import "time"

// Limits bounds what all connections of a port hold together.
type Limits struct {
	// Bytes bounds the reserved memory.
	Bytes int64
	// Conns bounds the number of connections.
	Conns int
	// ConnBytes is what an idle connection costs.
	ConnBytes int64
}

// Budget holds the connections of a port and decides which of them to close. It is not safe for concurrent use. Create it with
// NewBudget.
type Budget struct {
	limits    Limits
	conns     []*Conn
	heldBytes int64
}

// NewBudget returns a budget without connections.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// HeldBytes returns the memory that is reserved for all connections.
func (b *Budget) HeldBytes() int64 { return b.heldBytes }

// Conns returns the number of open connections.
func (b *Budget) Conns() int { return len(b.conns) }

// Open adds a new connection. It returns the connections to close for it, and the cause for which they, or the new connection itself,
// must be closed. Unless opened is true, the new connection was not added and must be closed.
func (b *Budget) Open(c *Conn, now time.Time) (closed []*Conn, cause Cause, opened bool) {
	if len(b.conns) >= b.limits.Conns {
		v := b.choose(now, (*Conn).forSlot)
		if v == nil {
			return nil, CauseConnections, false
		}
		b.Close(v)
		closed, cause = []*Conn{v}, CauseConnections
	}
	room, fits := b.makeRoom(nil, b.limits.ConnBytes, now)
	if len(room) > 0 || !fits {
		cause = CauseMemory
	}
	closed = append(closed, room...)
	if !fits {
		return closed, cause, false
	}
	*c = Conn{phase: Idle, since: now, heldBytes: b.limits.ConnBytes, idleBytes: b.limits.ConnBytes, slot: len(b.conns) + 1}
	b.conns = append(b.conns, c)
	b.heldBytes += c.heldBytes
	return closed, cause, true
}

// Hold sets the memory that a connection holds in addition to what an idle one does. It returns the connections to close for it.
// Unless fits is true, the reservation is unchanged, and what the connection asked for must be refused. The connection itself is
// never among those to close.
func (b *Budget) Hold(c *Conn, bytes int64, now time.Time) (closed []*Conn, fits bool) {
	if c.slot == 0 {
		return nil, false
	}
	more := c.idleBytes + bytes - c.heldBytes
	if more > 0 {
		if closed, fits = b.makeRoom(c, more, now); !fits {
			return closed, false
		}
	}
	c.heldBytes += more
	b.heldBytes += more
	return closed, true
}

// Moved records that bytes of a request arrived, or that bytes of a response were sent.
func (b *Budget) Moved(c *Conn, bytes int64) { c.movedBytes += bytes }

// Enter begins a phase. An idle connection holds nothing of a request any more. It returns false if the connection was closed; a
// request that was complete at that moment must not be passed on.
func (b *Budget) Enter(c *Conn, phase Phase, now time.Time) bool {
	if c.slot == 0 {
		return false
	}
	c.phase, c.since, c.movedBytes = phase, now, 0
	if phase == Idle {
		b.heldBytes -= c.heldBytes - c.idleBytes
		c.heldBytes = c.idleBytes
	}
	return true
}

// Close removes a connection. It has no effect if the connection is not open.
func (b *Budget) Close(c *Conn) {
	if c.slot == 0 {
		return
	}
	last := len(b.conns) - 1
	moved := b.conns[last]
	b.conns[c.slot-1], moved.slot = moved, c.slot
	b.conns[last] = nil
	b.conns = b.conns[:last]
	b.heldBytes -= c.heldBytes
	c.slot, c.heldBytes = 0, 0
}

// makeRoom closes connections until more bytes fit, and reports whether they do. It stops if the connection that asks for them, which
// may be nil, is itself the next to be closed.
func (b *Budget) makeRoom(c *Conn, more int64, now time.Time) (closed []*Conn, fits bool) {
	if more > b.limits.Bytes {
		return nil, false
	}
	for b.heldBytes+more > b.limits.Bytes {
		v := b.choose(now, (*Conn).forMemory)
		if v == nil || v == c {
			return closed, false
		}
		b.Close(v)
		closed = append(closed, v)
	}
	return closed, true
}

// choose returns the connection to close: the one with the lowest precedence, and among those the one that is furthest behind. It
// returns nil if none may be closed.
func (b *Budget) choose(now time.Time, order func(*Conn, time.Time) precedence) *Conn {
	var chosen *Conn
	best, bestLag := closeNever, time.Duration(0)
	for _, c := range b.conns {
		p, lag := order(c, now), c.lag(now)
		if p < best || p == best && p < closeNever && lag > bestLag {
			chosen, best, bestLag = c, p, lag
		}
	}
	return chosen
}

// Cause is why a connection was closed.
type Cause uint8

// The causes, in the order in which they are checked.
const (
	CauseConnections Cause = iota
	CauseMemory
)

// String returns the cause as it appears in metrics and logs.
func (c Cause) String() string {
	if c == CauseMemory {
		return "memory"
	}
	return "connections"
}
