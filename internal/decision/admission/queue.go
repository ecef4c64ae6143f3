package admission

import (
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/decision/fairshare"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// fastQuantile is the quantile of the request duration that counts as the shortest possible one: a request whose deadline
	// leaves less time is refused.
	fastQuantile = 0.2
	// durationWeight is the weight of a new sample in the moving average of the request duration.
	durationWeight = 0.05
	// initialDuration is the assumed request duration before the first sample.
	initialDuration = 20 * time.Millisecond
	// maxCallerFraction is the fraction of a rank's queue capacity that one caller may use once the queue is half full.
	maxCallerFraction = 0.5
	// minQueueCapacity is the lower bound of a rank's queue capacity, regardless of the drain rate.
	minQueueCapacity = 4
)

// Config is the policy of one queue.
type Config struct {
	Ranks [model.RankCount]model.RankPolicy
	// Limit is the number of concurrent requests of a rank and the more urgent ranks together, at least 1. A rank below its
	// minimum share may run up to twice that share of the limit even if the limit is reached.
	Limit int
}

// Waiter is one request that is submitted to a Queue, from its arrival to its end. The caller of Submit sets the exported
// fields.
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

// Verdict is the result of submitting a request.
type Verdict int

// The verdicts.
const (
	// Admitted: the request may start.
	Admitted Verdict = iota
	// Queued: the request waits until AdmitWaiting admits or refuses it.
	Queued
	// Refused: the request must not start.
	Refused
)

// Decision is a verdict. Reason and RetryAfter, the time after which a retry may succeed, are set for refusals only.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonNone: the request was not refused.
	ReasonNone Reason = ""
	// ReasonDeadline: the request cannot end before its deadline.
	ReasonDeadline Reason = "deadline_cannot_be_met"
	// ReasonQueueFull: the queue of the request's rank is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonCallerShare: the caller already uses its share of the rank's queue.
	ReasonCallerShare Reason = "caller_over_its_part"
	// ReasonQueueTime: the request waited longer than its rank or its deadline allows.
	ReasonQueueTime Reason = "queued_too_long"
	// ReasonDraining: the daemon is draining and admits no more requests.
	ReasonDraining Reason = "draining"
)

// Queue admits the requests to one service. It is not safe for concurrent use. Create it with New.
type Queue struct {
	cfg     Config
	running [model.RankCount]int
	waiting [model.RankCount]rankQueue
	served  fairshare.ServedCounter
	pacer   pacer
	// minimums are the ranks' minimum shares.
	minimums fairshare.Minimums
	// meanDuration is the moving average of the time from a request's admission to its end, and fastDuration a low quantile of
	// that time.
	meanDuration time.Duration
	fastDuration budget.Quantile
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg, meanDuration: initialDuration, pacer: pacer{limit: float64(cfg.Limit), slowdown: 1}}
	for i := range q.waiting {
		q.waiting[i] = newRankQueue()
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

// SetLimit changes Config.Limit. Values below 1 count as 1.
func (q *Queue) SetLimit(n int) { q.cfg.Limit = max(1, n) }

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int {
	n := 0
	for _, r := range q.running {
		n += r
	}
	return n
}

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(r model.Rank) int { return q.waiting[r].size }

// Submit admits, queues or refuses a new request.
func (q *Queue) Submit(w *Waiter, now time.Time) Decision {
	w.arrived = now
	if q.infeasible(w, now) {
		return q.refuse(w, ReasonDeadline)
	}
	if q.startsImmediately(w.Rank, now) {
		q.admit(w, now)
		return Decision{Verdict: Admitted}
	}
	if d := q.checkCapacity(w, now); d.Verdict == Refused {
		return d
	}
	w.state = stateWaiting
	q.waiting[w.Rank].push(w)
	return Decision{Verdict: Queued}
}

// startsImmediately reports whether a new request of rank r need not wait. As in pick, a request of a rank below its minimum
// share starts regardless of the pacer: if it were queued, it would not be considered again until another request ends.
func (q *Queue) startsImmediately(r model.Rank, now time.Time) bool {
	if q.waiting[r].size == 0 && q.mayStartBelowMinimum(r) && q.served.BelowMinimum(r, &q.minimums, now) {
		return true
	}
	return !q.hasWaitingUpTo(r) && q.mayStart(r, now)
}

// infeasible reports whether a request would miss its deadline even with a short duration.
func (q *Queue) infeasible(w *Waiter, now time.Time) bool {
	return !now.Add(q.fastDuration.Value()).Before(w.Deadline)
}

// hasWaitingUpTo reports whether a request of rank r or of a more urgent rank waits.
func (q *Queue) hasWaitingUpTo(r model.Rank) bool {
	for i := range int(r) + 1 {
		if q.waiting[i].size > 0 {
			return true
		}
	}
	return false
}

// mayStart reports whether a request of rank r may start now. Running requests of less urgent ranks do not count against the
// limit, since servers may serve them only after this request. Urgent requests are bounded by the limit alone, others by the
// pacer as well.
func (q *Queue) mayStart(r model.Rank, now time.Time) bool {
	if q.runningUpTo(r) >= q.cfg.Limit {
		return false
	}
	if r == model.RankUrgent {
		return true
	}
	at, ok := q.pacer.nextStart(q.runningBelowUrgent(), q.meanDuration)
	return ok && !at.After(now)
}

// runningUpTo returns the number of running requests of rank r and of more urgent ranks.
func (q *Queue) runningUpTo(r model.Rank) int {
	n := 0
	for i := range int(r) + 1 {
		n += q.running[i]
	}
	return n
}

// mayStartBelowMinimum reports whether a request of rank r may start now, given that the rank is below its minimum share:
// while fewer requests run than the limit, or while the rank runs less than twice its share of the limit. The factor of two
// covers that its requests take longer than urgent ones.
func (q *Queue) mayStartBelowMinimum(r model.Rank) bool {
	reserved := max(1, int(math.Ceil(2*q.minimums[r]*float64(q.cfg.Limit))))
	return q.Running() < q.cfg.Limit || q.running[r] < reserved
}

func (q *Queue) runningBelowUrgent() int { return q.Running() - q.running[model.RankUrgent] }

// checkCapacity returns whether a request that cannot start immediately is queued or refused.
func (q *Queue) checkCapacity(w *Waiter, now time.Time) Decision {
	wait := q.expectedWait(w.Rank)
	if now.Add(wait + q.fastDuration.Value()).After(w.Deadline) {
		return q.refuse(w, ReasonDeadline)
	}
	waiting := &q.waiting[w.Rank]
	capacity := q.queueCapacity(w.Rank)
	if waiting.size >= capacity {
		return q.refuse(w, ReasonQueueFull)
	}
	if waiting.size >= capacity/2 && float64(waiting.callerSize(w.Caller)) >= maxCallerFraction*float64(capacity) {
		return q.refuse(w, ReasonCallerShare)
	}
	return Decision{Verdict: Queued}
}

// AdmitWaiting admits waiting requests while the limits allow it. It refuses those that waited too long or can no longer meet
// their deadline. It appends to the given slices and returns them.
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

// Finish records that an admitted request ended. slowdown is the ratio of latency to uncongested latency that was measured
// at its servers, or 0 if it is not known. Call AdmitWaiting afterwards.
func (q *Queue) Finish(w *Waiter, slowdown float64, now time.Time) {
	if w.state != stateRunning {
		panic("admission: finished a request that is not running")
	}
	w.state = stateEnded
	q.running[w.Rank]--
	duration := now.Sub(w.admitted)
	q.meanDuration += time.Duration(float64(duration-q.meanDuration) * durationWeight)
	q.fastDuration.Observe(duration, fastQuantile)
	if w.Rank != model.RankUrgent {
		q.pacer.onFinish(slowdown, q.meanDuration, q.cfg.Limit, now)
	}
}

// WakeAt returns when to call AdmitWaiting next even if no request ends until then, because the pacer delays a waiting
// request. It returns the zero time if no such call is needed.
func (q *Queue) WakeAt() time.Time {
	if !q.delayedByPacer() {
		return time.Time{}
	}
	at, ok := q.pacer.nextStart(q.runningBelowUrgent(), q.meanDuration)
	if !ok {
		return time.Time{}
	}
	return at
}

// delayedByPacer reports whether a waiting request is delayed by the pacer alone. One that is delayed by the limit starts when
// another request ends.
func (q *Queue) delayedByPacer() bool {
	for r := model.RankUrgent + 1; int(r) < model.RankCount; r++ {
		if q.waiting[r].size > 0 && q.runningUpTo(r) < q.cfg.Limit {
			return true
		}
	}
	return false
}

// Abandon removes a waiting request and reports whether it was still waiting.
func (q *Queue) Abandon(w *Waiter) bool {
	if w.state != stateWaiting {
		return false
	}
	w.state = stateEnded
	q.waiting[w.Rank].remove(w)
	return true
}

// RetryAfter returns the time after which a refused request of rank r may be admitted.
func (q *Queue) RetryAfter(r model.Rank) time.Duration { return q.expectedWait(r) + q.meanDuration }

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
		q.pacer.lastStart = now
	}
}

// tooLate reports whether a waiting request must be refused because it exceeded its rank's maximum queueing time or can no
// longer meet its deadline.
func (q *Queue) tooLate(w *Waiter, now time.Time) bool {
	policy := q.cfg.Ranks[w.Rank]
	if policy.MaxQueue > 0 && now.Sub(w.arrived) > policy.MaxQueue {
		return true
	}
	return q.infeasible(w, now)
}

// pick removes and returns the request to start next, or nil if none may start. Among the ranks with waiting requests, the
// one whose share of recent admissions is furthest below its minimum is first, regardless of the pacer. If none is below its
// minimum, it is the most urgent rank whose requests may start.
func (q *Queue) pick(now time.Time) *Waiter {
	waiting := func(r model.Rank) bool { return q.waiting[r].size > 0 && q.mayStartBelowMinimum(r) }
	if r, ok := q.served.FurthestBelowMinimum(waiting, &q.minimums, now); ok {
		return q.waiting[r].pop()
	}
	for r := range q.waiting {
		if q.waiting[r].size > 0 && q.mayStart(model.Rank(r), now) {
			return q.waiting[r].pop()
		}
	}
	return nil
}

// expectedWait estimates how long a new request of rank r waits: from the requests ahead of it and the drain rate, or from
// the rank's minimum share of the queue's drain rate, whichever is shorter. The pacer does not delay a rank below its minimum
// share.
func (q *Queue) expectedWait(r model.Rank) time.Duration {
	ahead := 0
	for i := 0; i <= int(r); i++ {
		ahead += q.waiting[i].size
	}
	wait := time.Duration(ahead+1) * q.startInterval(r)
	if byShare := q.minShareInterval(r); byShare > 0 {
		wait = min(wait, time.Duration(q.waiting[r].size+1)*byShare)
	}
	return wait
}

// minShareInterval returns the mean time between two starts of requests of rank r if the rank gets exactly its minimum share;
// 0 if it has none.
func (q *Queue) minShareInterval(r model.Rank) time.Duration {
	if q.minimums[r] <= 0 {
		return 0
	}
	return time.Duration(float64(q.meanDuration) / (float64(max(1, q.cfg.Limit)) * q.minimums[r]))
}

// queueCapacity returns the bound of a rank's queue: the number of requests that can start within its maximum queueing time.
func (q *Queue) queueCapacity(r model.Rank) int {
	policy := q.cfg.Ranks[r]
	if policy.MaxQueue <= 0 {
		return minQueueCapacity
	}
	interval := q.startInterval(r)
	if byShare := q.minShareInterval(r); byShare > 0 {
		interval = min(interval, byShare)
	}
	return max(minQueueCapacity, int(policy.MaxQueue/max(1, interval)))
}

// startInterval returns the mean time between two starts of requests of rank r while its queue is not empty.
func (q *Queue) startInterval(r model.Rank) time.Duration {
	concurrency := float64(max(1, q.cfg.Limit))
	if r != model.RankUrgent {
		concurrency = min(concurrency, max(minPacerLimit, q.pacer.limit))
	}
	return time.Duration(float64(q.meanDuration) / concurrency)
}
