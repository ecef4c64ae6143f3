package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestAdmission(t *testing.T) { suite.Run(t, "./internal/decision/admission") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func config(limit int) admission.Config {
	return admission.Config{Limit: limit, Ranks: [model.RankCount]model.RankPolicy{
		{MinShare: 0.5, MaxQueue: 100 * time.Millisecond},
		{MinShare: 0.2, MaxQueue: 300 * time.Millisecond},
		{MinShare: 0.1, MaxQueue: time.Second},
	}}
}

// workload drives a queue in steps of one millisecond. arrivals is the rate of each rank in requests per second, spread over
// the given number of callers; each admitted request runs for requestDuration.
type workload struct {
	arrivals        [model.RankCount]float64
	requestDuration time.Duration
	limit           int
	duration        time.Duration
	callers         int
}

type runningRequest struct {
	waiter *admission.Waiter
	ends   time.Time
}

// run returns the number of admissions by rank and by caller.
func (l workload) run(seed uint64) (admitted [model.RankCount]int, byCaller map[model.CallerName]int) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	q := admission.New(config(l.limit))
	byCaller = map[model.CallerName]int{}
	var active []runningRequest
	begin := func(w *admission.Waiter, now time.Time) {
		admitted[w.Rank]++
		byCaller[w.Caller]++
		active = append(active, runningRequest{w, now.Add(l.requestDuration)})
	}
	for now := start; now.Before(start.Add(l.duration)); now = now.Add(time.Millisecond) {
		kept := active[:0]
		for _, a := range active {
			if a.ends.After(now) {
				kept = append(kept, a)
				continue
			}
			q.Finish(a.waiter, 1, now)
		}
		active = kept
		for r := range l.arrivals {
			for p := l.arrivals[r] / 1000; p > 0; p-- {
				if rnd.Float64() >= p {
					continue
				}
				caller := model.CallerName(fmt.Sprint(rnd.IntN(max(1, l.callers))))
				w := &admission.Waiter{Rank: model.Rank(r), Caller: caller, Deadline: now.Add(2 * time.Second)}
				if q.Submit(w, now).Verdict == admission.Admitted {
					begin(w, now)
				}
			}
		}
		started, _ := q.AdmitWaiting(now, nil, nil)
		for _, w := range started {
			begin(w, now)
		}
	}
	return admitted, byCaller
}

var _ = Describe("Queue", func() {
	const requestDuration = 20 * time.Millisecond

	DescribeTable("keeps every rank's minimum share while another rank is overloaded, and uses the capacity",
		func(overloaded, other model.Rank) {
			// Guards against a rank that starves while another one is overloaded, and against capacity left unused.
			l := workload{requestDuration: requestDuration, limit: 4, duration: 10 * time.Second}
			capacity := float64(l.limit) / requestDuration.Seconds()
			l.arrivals[overloaded] = 3 * capacity
			l.arrivals[other] = capacity
			admitted, _ := l.run(1)
			total := 0
			for _, n := range admitted {
				total += n
			}
			Expect(float64(total)).To(BeNumerically(">=", 0.9*capacity*l.duration.Seconds()), "goodput")
			share := config(1).Ranks[other].MinShare
			Expect(float64(admitted[other])).To(BeNumerically(">=", 0.95*share*float64(total)))
		},
		Entry("urgent overload, deferred keeps its share", model.RankUrgent, model.RankDeferred),
		Entry("urgent overload, standard keeps its share", model.RankUrgent, model.RankStandard),
		Entry("deferred overload, urgent goes first", model.RankDeferred, model.RankUrgent),
		Entry("standard overload, deferred keeps its share", model.RankStandard, model.RankDeferred),
	)

	It("serves the callers of a rank in turn, however many requests one of them has waiting", func() {
		// Guards against a caller whose 20 waiting requests are all served before another caller's single request.
		q := admission.New(config(1))
		first := &admission.Waiter{Caller: "loud", Deadline: start.Add(time.Minute)}
		Expect(q.Submit(first, start).Verdict).To(Equal(admission.Admitted))
		for range 20 {
			q.Submit(&admission.Waiter{Caller: "loud", Deadline: start.Add(time.Minute)}, start)
		}
		quiet := &admission.Waiter{Caller: "quiet", Deadline: start.Add(time.Minute)}
		Expect(q.Submit(quiet, start).Verdict).To(Equal(admission.Queued))
		running, turns := first, 0
		for running != quiet {
			q.Finish(running, 1, start.Add(time.Millisecond))
			next, _ := q.AdmitWaiting(start.Add(time.Millisecond), nil, nil)
			Expect(next).To(HaveLen(1))
			running = next[0]
			turns++
		}
		Expect(turns).To(BeNumerically("<=", 2))
	})

	It("refuses a request on arrival if it cannot meet its deadline", func() {
		// Guards against requests that take queue and server capacity although their answers are too late.
		q := admission.New(config(1))
		w := &admission.Waiter{Deadline: start.Add(time.Second)}
		Expect(q.Submit(w, start).Verdict).To(Equal(admission.Admitted))
		q.Finish(w, 1, start.Add(100*time.Millisecond))
		d := q.Submit(&admission.Waiter{Deadline: start.Add(150 * time.Millisecond)}, start.Add(100*time.Millisecond))
		Expect(d.Verdict).To(Equal(admission.Refused))
		Expect(d.Reason).To(Equal(admission.ReasonDeadline))
		Expect(d.RetryAfter).To(BeNumerically(">", 0))
	})

	It("limits requests below the urgent rank when replies show congestion, but not urgent ones", func() {
		// Guards against an overload of deferred requests that fills the servers' queues ahead of urgent requests.
		q, now := congested(8, requestDuration)
		Expect(q.Submit(&admission.Waiter{Rank: model.RankDeferred, Deadline: now.Add(time.Minute)}, now).Verdict).
			To(Equal(admission.Queued))
		for range 8 {
			d := q.Submit(&admission.Waiter{Rank: model.RankUrgent, Deadline: now.Add(time.Minute)}, now)
			Expect(d.Verdict).To(Equal(admission.Admitted))
		}
	})

	It("returns a wake time only if a request could start at that time", func() {
		// Guards against a timer that fires repeatedly while urgent requests use the whole limit and the pacer's limit is below 1.
		q, now := congested(2, requestDuration)
		for range 2 {
			urgent := &admission.Waiter{Rank: model.RankUrgent, Deadline: now.Add(time.Minute)}
			Expect(q.Submit(urgent, now).Verdict).To(Equal(admission.Admitted))
		}
		deferred := &admission.Waiter{Rank: model.RankDeferred, Deadline: now.Add(time.Minute)}
		Expect(q.Submit(deferred, now).Verdict).To(Equal(admission.Queued))
		Expect(q.WakeAt()).To(BeZero())
	})

	It("starts a request of a rank below its minimum share on arrival, regardless of the pacer", func() {
		// Guards against a request that waits until it is refused although its rank is below its minimum share: the queue is only
		// processed again when another request ends.
		q, now := congested(2, requestDuration)
		for _, r := range []model.Rank{model.RankDeferred, model.RankStandard} {
			d := q.Submit(&admission.Waiter{Rank: r, Deadline: now.Add(time.Minute)}, now)
			Expect(d.Verdict == admission.Admitted).To(Equal(r == model.RankStandard))
		}
	})

	It("admits urgent requests while less urgent ones use the whole limit", func() {
		// Guards against urgent requests that wait for deferred ones, which in turn wait for servers behind urgent requests.
		q := admission.New(config(2))
		far := start.Add(time.Minute)
		for range 2 {
			Expect(q.Submit(&admission.Waiter{Rank: model.RankDeferred, Deadline: far}, start).Verdict).To(Equal(admission.Admitted))
		}
		Expect(q.Submit(&admission.Waiter{Rank: model.RankUrgent, Deadline: far}, start).Verdict).To(Equal(admission.Admitted))
		Expect(q.Submit(&admission.Waiter{Rank: model.RankDeferred, Deadline: far}, start).Verdict).To(Equal(admission.Queued))
	})

	It("never runs more requests of a rank than the limit and never starts a refused request", func() {
		// Guards against orders of arrivals, ends and cancellations that break the accounting of running and waiting requests.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(1, 5).Draw(t, "limit")
			q := admission.New(config(limit))
			now := start
			state := map[*admission.Waiter]string{}
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 2).Draw(t, "op") {
				case 0:
					w := &admission.Waiter{
						Rank:     model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
						Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond),
					}
					state[w] = [...]string{"running", "waiting", "refused"}[q.Submit(w, now).Verdict]
				case 1:
					finishOne(q, state, now)
				case 2:
					abandonOne(q, state)
				}
				admitted, refused := q.AdmitWaiting(now, nil, nil)
				for _, w := range admitted {
					if state[w] != "waiting" {
						t.Fatalf("started a request that was %s", state[w])
					}
					state[w] = "running"
				}
				for _, w := range refused {
					if state[w] != "waiting" {
						t.Fatalf("refused a request that was %s", state[w])
					}
					state[w] = "refused"
				}
				var running [model.RankCount]int
				for w, s := range state {
					if s == "running" {
						running[w.Rank]++
					}
				}
				for rank, n := range running {
					if n > limit {
						t.Fatalf("%d of rank %d running with a limit of %d", n, rank, limit)
					}
				}
			}
		})
	})
})

// congested returns a queue whose pacer limit fell below 1 because consecutive deferred requests observed congestion.
func congested(limit int, requestDuration time.Duration) (*admission.Queue, time.Time) {
	q, now := admission.New(config(limit)), start
	for range 100 {
		w := &admission.Waiter{Rank: model.RankDeferred, Deadline: now.Add(time.Minute)}
		admitted := q.Submit(w, now).Verdict == admission.Admitted
		now = now.Add(requestDuration)
		if admitted {
			q.Finish(w, 4, now)
			continue
		}
		q.Abandon(w)
	}
	return q, now
}

func finishOne(q *admission.Queue, state map[*admission.Waiter]string, now time.Time) {
	for w, s := range state {
		if s == "running" {
			q.Finish(w, 1, now)
			state[w] = "ended"
			return
		}
	}
}

func abandonOne(q *admission.Queue, state map[*admission.Waiter]string) {
	for w, s := range state {
		if s == "waiting" {
			q.Abandon(w)
			state[w] = "ended"
			return
		}
	}
}
