package intake

import "time"

// Phase is what a connection does.
type Phase uint8

// The phases of a connection.
const (
	// Idle: waits for the first byte of a request.
	Idle Phase = iota
	// Receiving: a request has begun and has not arrived completely.
	Receiving
	// Serving: a complete request is being served.
	Serving
	// Sending: the response is being written, and may wait for its reader.
	Sending
	// Refused: a request was refused before it had arrived, and the connection is about to close.
	Refused
)

// Conn is the state of one connection. The zero value is not open.
type Conn struct {
	phase Phase
	// since is when the phase began, and movedBytes what was sent or received since then.
	since      time.Time
	movedBytes int64
	// heldBytes is the memory that is reserved for the connection, and idleBytes the part of it that an idle connection needs.
	heldBytes, idleBytes int64
	// slot is the index of the connection in Budget.conns plus 1, or 0 if the connection is not open.
	slot int
}

const (
	// referenceRate is the transfer rate, in bytes per second, at which a request or response does not fall behind.
	referenceRate = 256 << 10
	// slowReaderLag is how far a response must be behind before its connection may be closed. Others read at full speed.
	slowReaderLag = 100 * time.Millisecond
	// firstRequestGrace is how long a connection is treated like an incomplete request instead of an idle one after it was opened or
	// carried a request. Without it, each new connection to a full port would replace the one before, before its request arrives.
	firstRequestGrace = time.Second
)

// lag returns how far the transfer is behind one at referenceRate: the longer it takes and the less arrives, the higher.
func (c *Conn) lag(now time.Time) time.Duration {
	expected := time.Duration(float64(c.movedBytes) / referenceRate * float64(time.Second))
	return now.Sub(c.since) - expected
}

// precedence is the order in which connections are closed, the lowest first.
type precedence uint8

const (
	closeFirst precedence = iota
	closeEarly
	closeLate
	closeLast
	closeNever
)

// forSlot returns the precedence of a connection when a new connection needs its slot: refused ones first, then idle ones, then
// incomplete requests, then slow readers.
func (c *Conn) forSlot(now time.Time) precedence {
	switch c.phase {
	case Refused:
		return closeFirst
	case Idle:
		if now.Sub(c.since) >= firstRequestGrace {
			return closeEarly
		}
		return closeLate
	case Receiving:
		return closeLate
	case Sending:
		if c.lag(now) >= slowReaderLag {
			return closeLast
		}
	default:
	}
	return closeNever
}

// forMemory returns the precedence of a connection when memory is needed: refused ones first, then incomplete requests and slow
// readers alike, then idle ones, which hold little.
func (c *Conn) forMemory(now time.Time) precedence {
	switch c.phase {
	case Refused:
		return closeFirst
	case Receiving:
		return closeEarly
	case Sending:
		if c.lag(now) >= slowReaderLag {
			return closeEarly
		}
	case Idle:
		return closeLast
	default:
	}
	return closeNever
}
