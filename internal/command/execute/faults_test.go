package execute_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/scripted"
	"oleandersill.example/oleandersill/internal/testing/suite"
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
			suite.InBubble(func() {
				w := newWorld()
				defer w.close()
				w.Set(f)
				key := keyAt(time.Now())
				for i := range got {
					a := w.daemons[i].do(key, "12 pesos", i == 0)
					got[i] = told{a.Outcome, w.Runs(key)}
					time.Sleep(time.Minute)
					w.Settle()
				}
			})
			Expect(got).To(Equal([2]told{first, retry}))
		},
		Entry("no fault", faults{}, done, done),
		Entry("store down", faults{Puts: list{down}}, notRun, done),
		Entry("store slow", faults{Puts: list{slow}, Gets: list{down}}, notRun, done),
		Entry("claim lost before the effect", faults{Puts: list{before}}, done, done),
		Entry("claim lost after the effect", faults{Puts: list{after}}, done, done),
		Entry("claim lost after the effect, store then down",
			faults{Puts: list{after}, Gets: list{down}}, notRun, done),
		Entry("claim lost after the effect, stale read", faults{Puts: list{after}, Gets: list{stale}}, done, done),
		Entry("claim delayed, store then down",
			faults{Puts: list{late}, Gets: list{down}}, notRun, unknown0),
		Entry("claim delayed beyond a second one", faults{Puts: list{late}}, done, done),
		Entry("result lost before the effect", faults{Puts: list{fine, before}}, done, done),
		Entry("result lost after the effect", faults{Puts: list{fine, after}}, done, done),
		Entry("result never recorded", faults{Puts: append(list{fine}, repeat(down, 200)...)}, done, unknown1),
		Entry("server refuses the connection", faults{Requests: list{down}}, done, done),
		Entry("server sheds", faults{Requests: list{shed}}, done, done),
		Entry("server drains", faults{Requests: list{drains}}, done, done),
		Entry("every server sheds", faults{Requests: repeat(shed, 3)}, notRun, done),
		Entry("release never recorded",
			faults{Requests: repeat(shed, 3), Puts: append(list{fine}, repeat(down, 200)...)}, notRun, unknown0),
		Entry("connection cut before the run", faults{Requests: list{before}}, unknown0, unknown0),
		Entry("connection cut after the run", faults{Requests: list{after}}, unknown1, unknown1),
		Entry("connection cut, the server runs it later", faults{Requests: list{late}}, unknown0, unknown1),
		Entry("crossed reply", faults{Requests: list{crossed}}, unknown1, unknown1),
		Entry("the server ran it and reports an error", faults{Requests: list{failed}}, unknown1, unknown1),
		Entry("server slow beyond the deadline", faults{Requests: list{slow}}, unknown1, unknown1),
		Entry("daemon paused between claim and send", faults{Puts: list{paused}}, notRun, done),
		Entry("daemon stopped after the claim",
			faults{Puts: append(list{paused}, repeat(down, 200)...)}, notRun, unknown0),
	)

	DescribeTable("is unknown and not not_run when an earlier attempt may have run and the store cannot tell",
		func(first bool, f faults) {
			var a execute.Response
			suite.InBubble(func() {
				w := newWorld()
				defer w.close()
				key := keyAt(time.Now())
				w.Set(faults{Requests: list{after}})
				w.daemons[0].do(key, "b", true)
				w.Set(f)
				a = w.daemons[1].do(key, "b", first)
			})
			Expect(a.Outcome).To(Equal(model.OutcomeUnknown))
			Expect(a.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("the caller does not exclude it", false, faults{Puts: list{down}}),
		Entry("the caller excludes it wrongly and the claim conflicts", true, faults{Gets: list{down}}),
	)

	It("runs once for concurrent requests with one key at one daemon, and all get the answer", func() {
		answers := make([]execute.Response, 8)
		runs := 0
		suite.InBubble(func() {
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
			runs = w.Runs(key)
		})
		Expect(runs).To(Equal(1))
		for _, a := range answers {
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(a.Result).To(Equal("receipt b"))
		}
	})

	DescribeTable("is rejected or not decided on by its key",
		func(age time.Duration, firstBody string, want execute.Rejection, outcome model.Outcome) {
			var a execute.Response
			suite.InBubble(func() {
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
		Entry("used for other content", time.Second, "a", execute.RejectContentMismatch, model.Outcome("")),
	)
})

func repeat(f scripted.Fault, n int) list {
	out := make(list, n)
	for i := range out {
		out[i] = f
	}
	return out
}
