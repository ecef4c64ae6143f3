package backendserver

import (
	"slices"
	"strings"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// Faults are the faults in force; the zero value is a healthy server. Ratios are fractions of requests, in [0, 1].
type Faults struct {
	// Draining refuses new requests with 503; waiting and running ones end normally.
	Draining bool
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// Latency is the one-way network latency, added before and after each request.
	Latency time.Duration
	// Silent accepts connections and never answers.
	Silent bool
	// CutOff names the daemons whose query, execute and cancel requests get no answer, as in a network partition.
	CutOff []model.InstanceID
	// LostReplies is the ratio of requests that run and whose connection is then cut.
	LostReplies float64
	// CrossedReplies is the ratio of requests answered with another attempt's id.
	CrossedReplies float64
	// DuplicatedReplies is the ratio of requests whose reply is sent a second time in place of the reply to the next
	// request on the same connection.
	DuplicatedReplies float64
	// LateReplies is the ratio of requests whose reply comes LateBy after the request ended.
	LateReplies float64
	LateBy      time.Duration
	// FailedRequests is the ratio of requests that run and end with an error.
	FailedRequests float64
	// Health and Load replace the true reports.
	Health *backend.Health
	Load   *backend.Load
	// FrozenReports keeps the reports as they were when the fault was set.
	FrozenReports bool
}

// cutsOff tells whether the daemon that sent the attempt is cut off. Request ids start with the daemon's name.
func (f *Faults) cutsOff(id backend.AttemptID) bool {
	return slices.ContainsFunc(f.CutOff, func(instance model.InstanceID) bool {
		return strings.HasPrefix(string(id.Request), string(instance)+"-")
	})
}

// replyFault is what happens to one reply.
type replyFault int

const (
	replyIntact replyFault = iota
	replyLost
	replyCrossed
	replyDuplicated
	replyLate
	replyFailed
)

// draw picks the fault of one reply; u is uniform in [0, 1).
func (f *Faults) draw(u float64) replyFault {
	ratios := []struct {
		fault replyFault
		ratio float64
	}{
		{replyLost, f.LostReplies},
		{replyCrossed, f.CrossedReplies},
		{replyDuplicated, f.DuplicatedReplies},
		{replyLate, f.LateReplies},
		{replyFailed, f.FailedRequests},
	}
	for _, r := range ratios {
		if u < r.ratio {
			return r.fault
		}
		u -= r.ratio
	}
	return replyIntact
}
