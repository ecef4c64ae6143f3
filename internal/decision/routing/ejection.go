package routing

import "time"

const (
	// failuresToEject is the number of consecutive failures that ejects a server.
	failuresToEject = 3
	// baseEjection is the time of the first ejection; it doubles with each further one up to maxEjection, which leaves a
	// server that is reachable again unused for at most that long.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 2 * time.Second
	// deadAfter is the time without any reply after which repeated failures eject a server whatever the shard's cap says:
	// its requests would only wait for their deadlines.
	deadAfter = time.Second
	// MaxEjectedFraction caps the part of a shard's servers that may be ejected at a time.
	MaxEjectedFraction = 0.5
)

// Health is the observed state of one server: closed (in use), ejected, or half-open (one probe in flight). The zero
// value is in use. It is not safe for concurrent use.
type Health struct {
	failures  int
	ejections int
	until     time.Time
	replied   time.Time
	ejected   bool
	probing   bool
}

// OnSuccess records a reply and ends an ejection.
func (h *Health) OnSuccess(now time.Time) { *h = Health{replied: now} }

// OnFailure records an attempt without a reply. mayEject tells whether the shard's ejection cap leaves room.
func (h *Health) OnFailure(now time.Time, mayEject bool) {
	h.probing = false
	h.failures++
	dead := now.Sub(h.replied) >= deadAfter
	if h.ejected || (h.failures >= failuresToEject && (mayEject || dead)) {
		h.eject(now)
	}
}

func (h *Health) eject(now time.Time) {
	d := baseEjection << min(h.ejections, 8)
	h.ejected = true
	h.ejections++
	h.until = now.Add(min(d, maxEjection))
}

// Ejected tells whether the server gets no ordinary attempts.
func (h *Health) Ejected() bool { return h.ejected }

// ProbeDue tells whether an ejected server may get one trial attempt.
func (h *Health) ProbeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.until)
}

// StartProbe records that the trial attempt is on its way.
func (h *Health) StartProbe() { h.probing = true }

// EndProbe records that the trial attempt ended without evidence, so that another one may follow.
func (h *Health) EndProbe() { h.probing = false }
