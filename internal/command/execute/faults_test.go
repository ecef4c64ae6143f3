package execute_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/model"
)

// told is an answer with the number of runs at that time.
type told struct {
	outcome model.Outcome
	runs    int
}

var (
	done     = told{model.OutcomeComplete, 1}
	notRun   = told{model.OutcomeNotRun, 0}
	unknown0 = told{model.OutcomeUnknown, 0}
	unknown1 = told{model.OutcomeUnknown, 1}
)

var _ = Describe("a non-idempotent request under faults", func() {
	DescribeTable("is told only what is proven, and a retry through another daemon does not run it twice",
		func(f faults, first, retry told) {
			var got [2]told
			inBubble(func() {
				w := newWorld()
				defer w.close()
				w.set(f)
				key := keyAt(time.Now())
				for i := range got {
					a := w.daemons[i].do(key, "12 pesos", i == 0)
					got[i] = told{a.Outcome, w.ran(key)}
					time.Sleep(time.Minute)
					w.settle()
				}
			})
			Expect(got).To(Equal([2]told{first, retry}))
		},
		Entry("no fault", faults{}, done, done),
		Entry("store down", faults{puts: []fault{down}}, notRun, done),
		Entry("store slow", faults{puts: []fault{slow}, gets: []fault{down}}, notRun, done),
		Entry("claim lost before the effect", faults{puts: []fault{before}}, done, done),
		Entry("claim lost after the effect", faults{puts: []fault{after}}, done, done),
		Entry("claim lost after the effect, store then down",
			faults{puts: []fault{after}, gets: []fault{down}}, notRun, done),
		Entry("claim lost after the effect, stale read", faults{puts: []fault{after}, gets: []fault{stale}}, done, done),
		Entry("claim delayed beyond a second one", faults{puts: []fault{late}}, done, done),
		Entry("result lost before the effect", faults{puts: []fault{fine, before}}, done, done),
		Entry("result lost after the effect", faults{puts: []fault{fine, after}}, done, done),
		Entry("result never recorded", faults{puts: append([]fault{fine}, repeat(down, 200)...)}, done, unknown1),
		Entry("server refuses the connection", faults{serves: []fault{down}}, done, done),
		Entry("server sheds", faults{serves: []fault{shed}}, done, done),
		Entry("server drains", faults{serves: []fault{drains}}, done, done),
		Entry("every server sheds", faults{serves: repeat(shed, 3)}, notRun, done),
		Entry("release never recorded",
			faults{serves: repeat(shed, 3), puts: append([]fault{fine}, repeat(down, 200)...)}, notRun, unknown0),
		Entry("connection cut before the run", faults{serves: []fault{before}}, unknown0, unknown0),
		Entry("connection cut after the run", faults{serves: []fault{after}}, unknown1, unknown1),
		Entry("connection cut, the server runs it later", faults{serves: []fault{late}}, unknown0, unknown1),
		Entry("crossed reply", faults{serves: []fault{crossed}}, unknown1, unknown1),
		Entry("the server ran it and reports an error", faults{serves: []fault{failed}}, unknown1, unknown1),
		Entry("server slow beyond the deadline", faults{serves: []fault{slow}}, unknown1, unknown1),
		Entry("daemon paused between claim and send", faults{puts: []fault{paused}}, notRun, done),
		Entry("daemon stopped after the claim",
			faults{puts: append([]fault{paused}, repeat(down, 200)...)}, notRun, unknown0),
	)

	DescribeTable("is unknown and not not_run when an earlier attempt may have run and the store cannot tell",
		func(first bool, f faults) {
			var a execute.Answer
			inBubble(func() {
				w := newWorld()
				defer w.close()
				key := keyAt(time.Now())
				w.set(faults{serves: []fault{after}})
				w.daemons[0].do(key, "b", true)
				w.set(f)
				a = w.daemons[1].do(key, "b", first)
			})
			Expect(a.Outcome).To(Equal(model.OutcomeUnknown))
			Expect(a.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("the caller does not exclude it", false, faults{puts: []fault{down}}),
		Entry("the caller excludes it wrongly and the claim conflicts", true, faults{gets: []fault{down}}),
	)

	It("runs once for concurrent requests with one key at one daemon, and all get the answer", func() {
		answers := make([]execute.Answer, 8)
		runs := 0
		inBubble(func() {
			w := newWorld()
			defer w.close()
			key := keyAt(time.Now())
			ended := make(chan struct{})
			for i := range answers {
				go func() {
					answers[i] = w.daemons[0].do(key, "b", true)
					ended <- struct{}{}
				}()
			}
			for range answers {
				<-ended
			}
			runs = w.ran(key)
		})
		Expect(runs).To(Equal(1))
		for _, a := range answers {
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(a.Result).To(Equal("receipt b"))
		}
	})

	DescribeTable("is rejected or not decided on by its key",
		func(age time.Duration, firstBody string, want execute.Rejection, outcome model.Outcome) {
			var a execute.Answer
			inBubble(func() {
				w := newWorld()
				defer w.close()
				key := keyAt(time.Now().Add(-age))
				if firstBody != "" {
					w.daemons[0].do(key, firstBody, true)
				}
				a = w.daemons[1].do(key, "b", true)
			})
			Expect(a.Rejection).To(Equal(want))
			Expect(a.Outcome).To(Equal(outcome))
		},
		Entry("5 minutes ahead", -5*time.Minute+time.Second, "", execute.RejectNone, model.OutcomeComplete),
		Entry("more than 5 minutes ahead", -5*time.Minute-time.Second, "", execute.RejectKeyFromFuture, model.Outcome("")),
		Entry("as old as the retention", 24*time.Hour, "", execute.RejectNone, model.OutcomeComplete),
		Entry("older than the retention", 24*time.Hour+time.Second, "", execute.RejectNone, model.OutcomeUnknown),
		Entry("used for other content", time.Second, "a", execute.RejectOtherContent, model.Outcome("")),
	)
})

func repeat(f fault, n int) []fault {
	out := make([]fault, n)
	for i := range out {
		out[i] = f
	}
	return out
}
