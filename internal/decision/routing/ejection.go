package routing

import "time"

const (
	// failuresToEject is the number of consecutive failures after which a server is ejected.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection. It doubles with each further one up to maxEjection, which is the
	// longest time for which a server that is reachable again stays unused.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 2 * time.Second
	// unresponsiveAfter is the time without any reply after which repeated failures eject even the last server of a shard that is in
	// use, because its requests would only wait for their deadlines.
	unresponsiveAfter = time.Second
)

// Health is the circuit breaker of one server: closed (in use), open (ejected), or half-open (one probe in flight). The
// zero value is closed. It is not safe for concurrent use.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	lastReply    time.Time
	ejected      bool
	probing      bool
}

// OnSuccess records a reply at now, which ends an ejection.
func (h *Health) OnSuccess(now time.Time) { *h = Health{lastReply: now} }

// OnFailure records an attempt without a reply. mayEject reports whether another server of the shard is in use.
func (h *Health) OnFailure(now time.Time, mayEject bool) {
	h.probing = false
	h.failures++
	unresponsive := now.Sub(h.lastReply) >= unresponsiveAfter
	if h.ejected || (h.failures >= failuresToEject && (mayEject || unresponsive)) {
		h.eject(now)
	}
}

func (h *Health) eject(now time.Time) {
	duration := baseEjection << min(h.ejections, 8)
	h.ejected = true
	h.ejections++
	h.ejectedUntil = now.Add(min(duration, maxEjection))
}

// Ejected reports whether the server is ejected, so that it gets no attempts other than probes.
func (h *Health) Ejected() bool { return h.ejected }

// ProbeDue reports whether the ejected server may get a probe.
func (h *Health) ProbeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.ejectedUntil)
}

// StartProbe records that a probe is in flight.
func (h *Health) StartProbe() { h.probing = true }

// EndProbe records that the probe ended without a result, so that another one may follow.
func (h *Health) EndProbe() { h.probing = false }
