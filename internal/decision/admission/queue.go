package admission

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/decision/share"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// fastQuantile is the quantile of the hold time that a request needs at least: one whose deadline leaves less time
	// cannot be served.
	fastQuantile = 0.2
	// holdWeight is the weight of a new sample in the mean time that an admitted request holds its place.
	holdWeight = 0.05
	// initialHold is the assumed hold time before the first sample.
	initialHold = 20 * time.Millisecond
	// maxCallerFraction is the part of a rank's waiting room that one caller may fill when others wait too.
	maxCallerFraction = 0.5
	// minWaitingRoom is the least number of requests that a rank may have waiting, whatever the drain rate.
	minWaitingRoom = 4
)

// Config is the policy of one queue.
type Config struct {
	Ranks [model.RankCount]model.RankPolicy
	// Limit is the number of requests of a rank and of more urgent ones that are admitted at a time, at least 1. Ranks below
	// their minimum share may exceed it by that share.
	Limit int
}

// Waiter is one request in the queue. The caller of the package fills the exported fields.
type Waiter struct {
	Caller   model.CallerName
	Rank     model.Rank
	Deadline time.Time

	arrived  time.Time
	admitted time.Time
	state    waiterState
}

type waiterState uint8

const (
	stateNew waiterState = iota
	stateWaiting
	stateRunning
	stateEnded
)

// Verdict is the answer to an arrival.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	Queued
	Refused
)

// Decision is a verdict with its reason and, for refusals, when a retry may succeed.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Reason tells why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonDeadline    Reason = "deadline_cannot_be_met"
	ReasonQueueFull   Reason = "queue_full"
	ReasonCallerShare Reason = "caller_over_its_part"
	ReasonQueueTime   Reason = "queued_too_long"
	ReasonDraining    Reason = "draining"
)

// Queue admits the requests of one service. It is not safe for concurrent use. Create it with New.
type Queue struct {
	cfg     Config
	running [model.RankCount]int
	waiting [model.RankCount]lane
	served  share.Ledger
	pace    pace
	// minimums are the ranks' minimum shares.
	minimums share.Minimums
	// hold is the mean time from admission to end, and fast a low quantile of it.
	hold time.Duration
	fast budget.Quantile
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg, hold: initialHold, pace: pace{limit: float64(cfg.Limit), slowdown: 1}}
	for i := range q.waiting {
		q.waiting[i] = newLane()
	}
	q.SetConfig(cfg)
	return q
}

// SetConfig replaces the policy. Requests already admitted are not affected.
func (q *Queue) SetConfig(cfg Config) {
	q.cfg = cfg
	for r := range cfg.Ranks {
		q.minimums[r] = cfg.Ranks[r].MinShare
	}
}

// SetLimit changes the number of requests admitted at a time.
func (q *Queue) SetLimit(n int) { q.cfg.Limit = max(1, n) }

// Running returns the number of admitted requests.
func (q *Queue) Running() int {
	n := 0
	for _, r := range q.running {
		n += r
	}
	return n
}

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(r model.Rank) int { return q.waiting[r].size }

// Submit decides on a new request.
func (q *Queue) Submit(w *Waiter, now time.Time) Decision {
	w.arrived = now
	if q.infeasible(w, now) {
		return q.refuse(w, ReasonDeadline)
	}
	if q.startsAtOnce(w.Rank, now) {
		q.admit(w, now)
		return Decision{Verdict: Admitted}
	}
	if d := q.checkRoom(w, now); d.Verdict == Refused {
		return d
	}
	w.state = stateWaiting
	q.waiting[w.Rank].push(w)
	return Decision{Verdict: Queued}
}

// startsAtOnce tells whether a new request of the rank need not wait. As in pick, a rank below its minimum share starts
// whatever the pace: until another request ends, nothing would look at it again.
func (q *Queue) startsAtOnce(r model.Rank, now time.Time) bool {
	if q.waiting[r].size == 0 && q.owed(r) && q.served.Below(r, &q.minimums, now) {
		return true
	}
	return !q.waitingUpTo(r) && q.mayStart(r, now)
}

// infeasible tells whether even a fast answer would miss the request's deadline.
func (q *Queue) infeasible(w *Waiter, now time.Time) bool {
	return !now.Add(q.fast.Value()).Before(w.Deadline)
}

// waitingUpTo tells whether a request of the rank or a more urgent one waits.
func (q *Queue) waitingUpTo(r model.Rank) bool {
	for i := range int(r) + 1 {
		if q.waiting[i].size > 0 {
			return true
		}
	}
	return false
}

// mayStart tells whether a request of the rank may start now. Less urgent requests that run do not count against the
// limit: they may be waiting for servers behind this one. Urgent work is bounded by the limit alone, other work by the
// pace as well.
func (q *Queue) mayStart(r model.Rank, now time.Time) bool {
	if q.runningUpTo(r) >= q.cfg.Limit {
		return false
	}
	if r == model.RankUrgent {
		return true
	}
	at, ok := q.pace.next(q.runningBelowUrgent(), q.hold)
	return ok && !at.After(now)
}

// runningUpTo returns the number of admitted requests of the rank and of more urgent ones.
func (q *Queue) runningUpTo(r model.Rank) int {
	n := 0
	for i := range int(r) + 1 {
		n += q.running[i]
	}
	return n
}

// owed tells whether a request of a rank below its minimum share may start now: while the limit leaves room, or while
// the rank runs less than twice its share of the limit, since its requests take longer than urgent ones.
func (q *Queue) owed(r model.Rank) bool {
	least := max(1, int(math.Ceil(2*q.minimums[r]*float64(q.cfg.Limit))))
	return q.Running() < q.cfg.Limit || q.running[r] < least
}

func (q *Queue) runningBelowUrgent() int { return q.Running() - q.running[model.RankUrgent] }

func (q *Queue) checkRoom(w *Waiter, now time.Time) Decision {
	wait := q.expectedWait(w.Rank)
	if now.Add(wait + q.fast.Value()).After(w.Deadline) {
		return q.refuse(w, ReasonDeadline)
	}
	lane := &q.waiting[w.Rank]
	room := q.waitingRoom(w.Rank)
	if lane.size >= room {
		return q.refuse(w, ReasonQueueFull)
	}
	if lane.size >= room/2 && float64(lane.ofCaller(w.Caller)) >= maxCallerFraction*float64(room) {
		return q.refuse(w, ReasonCallerShare)
	}
	return Decision{Verdict: Queued}
}

// AdmitWaiting admits waiting requests while there is room, and ends those that waited too long or can no longer meet their
// deadline. It appends to the given slices and returns them.
func (q *Queue) AdmitWaiting(now time.Time, admitted, refused []*Waiter) (newAdmitted, newRefused []*Waiter) {
	for {
		w := q.pick(now)
		if w == nil {
			break
		}
		if q.tooLate(w, now) {
			w.state = stateEnded
			refused = append(refused, w)
			continue
		}
		q.admit(w, now)
		admitted = append(admitted, w)
	}
	return admitted, refused
}

// Finish records that an admitted request ended and which slowdown its servers showed (the ratio of latency to
// uncongested latency), or 0 if that is not known. Call Next afterwards.
func (q *Queue) Finish(w *Waiter, slowdown float64, now time.Time) {
	if w.state != stateRunning {
		panic("admission: finished a request that is not running")
	}
	w.state = stateEnded
	q.running[w.Rank]--
	held := now.Sub(w.admitted)
	q.hold += time.Duration(float64(held-q.hold) * holdWeight)
	q.fast.Observe(held, fastQuantile)
	if w.Rank != model.RankUrgent {
		q.pace.onFinish(slowdown, q.hold, q.cfg.Limit, now)
	}
}

// WakeAt returns when Next should be called although nothing ended, because waiting work is spaced in time; zero if it
// need not be.
func (q *Queue) WakeAt() time.Time {
	if !q.paced() {
		return time.Time{}
	}
	at, ok := q.pace.next(q.runningBelowUrgent(), q.hold)
	if !ok {
		return time.Time{}
	}
	return at
}

// paced tells whether the pace alone keeps a waiting request from starting. One that the limit keeps back starts when
// another one ends.
func (q *Queue) paced() bool {
	for r := model.RankUrgent + 1; int(r) < model.RankCount; r++ {
		if q.waiting[r].size > 0 && q.runningUpTo(r) < q.cfg.Limit {
			return true
		}
	}
	return false
}

// Abandon removes a waiting request, and tells whether it was still waiting.
func (q *Queue) Abandon(w *Waiter) bool {
	if w.state != stateWaiting {
		return false
	}
	w.state = stateEnded
	q.waiting[w.Rank].remove(w)
	return true
}

// RetryAfter returns the time after which a refused request of the rank may be admitted.
func (q *Queue) RetryAfter(r model.Rank) time.Duration { return q.expectedWait(r) + q.hold }

func (q *Queue) refuse(w *Waiter, reason Reason) Decision {
	w.state = stateEnded
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: q.RetryAfter(w.Rank)}
}

func (q *Queue) admit(w *Waiter, now time.Time) {
	w.state = stateRunning
	w.admitted = now
	q.running[w.Rank]++
	q.served.Add(w.Rank, now)
	if w.Rank != model.RankUrgent {
		q.pace.started = now
	}
}

func (q *Queue) tooLate(w *Waiter, now time.Time) bool {
	policy := q.cfg.Ranks[w.Rank]
	if policy.MaxQueue > 0 && now.Sub(w.arrived) > policy.MaxQueue {
		return true
	}
	return q.infeasible(w, now)
}

// pick removes and returns the request to start next, or nil. A rank with waiting work whose share of the recent
// admissions is furthest below its minimum goes first, whatever the pace; if there is none, the most urgent rank with
// waiting work that may start.
func (q *Queue) pick(now time.Time) *Waiter {
	waiting := func(r model.Rank) bool { return q.waiting[r].size > 0 && q.owed(r) }
	if r, ok := q.served.Neediest(waiting, &q.minimums, now); ok {
		return q.waiting[r].pop()
	}
	for r := range q.waiting {
		if q.waiting[r].size > 0 && q.mayStart(model.Rank(r), now) {
			return q.waiting[r].pop()
		}
	}
	return nil
}

// expectedWait estimates the wait of a new request of rank r from the requests ahead of it and the drain rate, or from
// its minimum share of the queue's drain rate, whichever is shorter. The pace does not hold a rank below its minimum back.
func (q *Queue) expectedWait(r model.Rank) time.Duration {
	ahead := 0
	for i := 0; i <= int(r); i++ {
		ahead += q.waiting[i].size
	}
	wait := time.Duration(ahead+1) * q.perRequest(r)
	if byShare := q.perShare(r); byShare > 0 {
		wait = min(wait, time.Duration(q.waiting[r].size+1)*byShare)
	}
	return wait
}

// perShare returns the mean time between two starts of requests of the rank by its minimum share alone; 0 without one.
func (q *Queue) perShare(r model.Rank) time.Duration {
	if q.minimums[r] <= 0 {
		return 0
	}
	return time.Duration(float64(q.hold) / (float64(max(1, q.cfg.Limit)) * q.minimums[r]))
}

// waitingRoom bounds a rank's queue by the number of requests that can start within its longest queueing time.
func (q *Queue) waitingRoom(r model.Rank) int {
	policy := q.cfg.Ranks[r]
	if policy.MaxQueue <= 0 {
		return minWaitingRoom
	}
	interval := q.perRequest(r)
	if byShare := q.perShare(r); byShare > 0 {
		interval = min(interval, byShare)
	}
	return max(minWaitingRoom, int(policy.MaxQueue/max(1, interval)))
}

// perRequest returns the mean time between two starts of requests of the rank while requests wait.
func (q *Queue) perRequest(r model.Rank) time.Duration {
	parallel := float64(max(1, q.cfg.Limit))
	if r != model.RankUrgent {
		parallel = min(parallel, max(minPace, q.pace.limit))
	}
	return time.Duration(float64(q.hold) / parallel)
}
