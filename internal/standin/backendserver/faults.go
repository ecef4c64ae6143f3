package backendserver

import (
	"slices"
	"strings"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// Faults holds the active faults. The zero value is a healthy server. Fractions of requests are in [0, 1]. A reply has at
// most one fault.
type Faults struct {
	// Draining refuses new requests with 503; waiting and running requests complete normally.
	Draining bool
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// Latency is the one-way network latency, added before and after each request.
	Latency time.Duration
	// Silent accepts connections and never answers new requests, which are not run.
	Silent bool
	// CutOff names the daemons whose query, execute and cancel requests are neither run nor answered, as in a network
	// partition.
	CutOff []model.InstanceID
	// LostReplies is the fraction of requests that run and whose connection is closed instead of a reply.
	LostReplies float64
	// CrossedReplies is the fraction of requests whose reply carries another attempt's ID.
	CrossedReplies float64
	// DuplicatedReplies is the fraction of requests whose reply is sent a second time in place of the reply to the next
	// request on the same connection.
	DuplicatedReplies float64
	// LateReplies is the fraction of requests whose reply is sent LateBy after the request has ended.
	LateReplies float64
	LateBy      time.Duration
	// FailedRequests is the fraction of requests that run and are answered with an error.
	FailedRequests float64
	// Health and Load replace the actual reports.
	Health *backend.Health
	Load   *backend.Load
	// FrozenReports repeats the reports from the time at which the fault was set.
	FrozenReports bool
}

// cutsOff reports whether the daemon that sent the attempt is cut off. Request IDs start with the daemon's instance name.
func (f *Faults) cutsOff(id backend.AttemptID) bool {
	return slices.ContainsFunc(f.CutOff, func(instance model.InstanceID) bool {
		return strings.HasPrefix(string(id.Request), string(instance)+"-")
	})
}

// replyFault is the fault of a reply.
type replyFault int

const (
	replyIntact replyFault = iota
	replyLost
	replyCrossed
	replyDuplicated
	replyLate
	replyFailed
)

// draw chooses the fault of a reply. u is a uniformly distributed random number in [0, 1).
func (f *Faults) draw(u float64) replyFault {
	fractions := []struct {
		fault    replyFault
		fraction float64
	}{
		{replyLost, f.LostReplies},
		{replyCrossed, f.CrossedReplies},
		{replyDuplicated, f.DuplicatedReplies},
		{replyLate, f.LateReplies},
		{replyFailed, f.FailedRequests},
	}
	for _, r := range fractions {
		if u < r.fraction {
			return r.fault
		}
		u -= r.fraction
	}
	return replyIntact
}
