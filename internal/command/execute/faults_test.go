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

// observed is the outcome of a response and the number of runs at the time of the response.
type observed struct {
	outcome model.Outcome
	runs    int
}

var (
	complete        = observed{model.OutcomeComplete, 1}
	notRun          = observed{model.OutcomeNotRun, 0}
	unknownZeroRuns = observed{model.OutcomeUnknown, 0}
	unknownOneRun   = observed{model.OutcomeUnknown, 1}
)

// Guards against a request that runs twice, and against an outcome that contradicts the number of runs.
var _ = Describe("a non-idempotent request under faults", func() {
	DescribeTable("gets only outcomes that are proven, and a retry through another daemon does not run it twice",
		func(f faults, first, retry observed) {
			var got [2]observed
			suite.InBubble(func() {
				cl := newCluster()
				defer cl.close()
				cl.SetScript(f)
				key := keyAt(time.Now())
				for i := range got {
					r := cl.daemons[i].send(key, "12 pesos", i == 0)
					got[i] = observed{r.Outcome, cl.Runs(key)}
					time.Sleep(time.Minute)
					cl.ClearFaults()
				}
			})
			Expect(got).To(Equal([2]observed{first, retry}))
		},
		Entry("no fault", faults{}, complete, complete),
		Entry("store down", faults{Puts: faultList{down}}, notRun, complete),
		Entry("store slow", faults{Puts: faultList{slow}, Gets: faultList{down}}, notRun, complete),
		Entry("claim lost before the effect", faults{Puts: faultList{lostBefore}}, complete, complete),
		Entry("claim lost after the effect", faults{Puts: faultList{lostAfter}}, complete, complete),
		Entry("claim lost after the effect, store then down",
			faults{Puts: faultList{lostAfter}, Gets: faultList{down}}, notRun, complete),
		Entry("claim lost after the effect, stale read", faults{Puts: faultList{lostAfter}, Gets: faultList{stale}}, complete, complete),
		Entry("claim delayed, store then down",
			faults{Puts: faultList{late}, Gets: faultList{down}}, notRun, unknownZeroRuns),
		Entry("claim write delayed until after its repetition", faults{Puts: faultList{late}}, complete, complete),
		Entry("result lost before the effect", faults{Puts: faultList{fine, lostBefore}}, complete, complete),
		Entry("result lost after the effect", faults{Puts: faultList{fine, lostAfter}}, complete, complete),
		Entry("result never recorded", faults{Puts: append(faultList{fine}, repeat(down, 200)...)}, complete, unknownOneRun),
		Entry("server refuses the connection", faults{Requests: faultList{down}}, complete, complete),
		Entry("server sheds the request", faults{Requests: faultList{shed}}, complete, complete),
		Entry("server is draining", faults{Requests: faultList{drains}}, complete, complete),
		Entry("every server sheds the request", faults{Requests: repeat(shed, 3)}, notRun, complete),
		Entry("release never recorded",
			faults{Requests: repeat(shed, 3), Puts: append(faultList{fine}, repeat(down, 200)...)}, notRun, unknownZeroRuns),
		Entry("connection cut before the run", faults{Requests: faultList{lostBefore}}, unknownZeroRuns, unknownZeroRuns),
		Entry("connection cut after the run", faults{Requests: faultList{lostAfter}}, unknownOneRun, unknownOneRun),
		Entry("connection cut, the server runs it later", faults{Requests: faultList{late}}, unknownZeroRuns, unknownOneRun),
		Entry("reply to another attempt", faults{Requests: faultList{crossed}}, unknownOneRun, unknownOneRun),
		Entry("the server ran it and reports an error", faults{Requests: faultList{failed}}, unknownOneRun, unknownOneRun),
		Entry("server slow beyond the deadline", faults{Requests: faultList{slow}}, unknownOneRun, unknownOneRun),
		Entry("daemon paused between claim and send", faults{Puts: faultList{paused}}, notRun, complete),
		Entry("daemon stopped after the claim",
			faults{Puts: append(faultList{paused}, repeat(down, 200)...)}, notRun, unknownZeroRuns),
	)

	DescribeTable("gets unknown instead of not_run when an earlier attempt may have run and the store cannot be read",
		func(first bool, f faults) {
			var r execute.Response
			suite.InBubble(func() {
				cl := newCluster()
				defer cl.close()
				key := keyAt(time.Now())
				cl.SetScript(faults{Requests: faultList{lostAfter}})
				cl.daemons[0].send(key, "b", true)
				cl.SetScript(f)
				r = cl.daemons[1].send(key, "b", first)
			})
			Expect(r.Outcome).To(Equal(model.OutcomeUnknown))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("the caller does not state that it is the first attempt", false, faults{Puts: faultList{down}}),
		Entry("the caller states wrongly that it is the first attempt, and the claim conflicts", true, faults{Gets: faultList{down}}),
	)

	It("runs once for concurrent requests with one key at one daemon, and all get its result", func() {
		responses := make([]execute.Response, 8)
		runs := 0
		suite.InBubble(func() {
			cl := newCluster()
			defer cl.close()
			key := keyAt(time.Now())
			ended := make(chan struct{})
			for i := range responses {
				go func() {
					responses[i] = cl.daemons[0].send(key, "b", true)
					ended <- struct{}{}
				}()
			}
			for range responses {
				<-ended
			}
			runs = cl.Runs(key)
		})
		Expect(runs).To(Equal(1))
		for _, r := range responses {
			Expect(r.Outcome).To(Equal(model.OutcomeComplete))
			Expect(r.Result).To(Equal("receipt b"))
		}
	})

	DescribeTable("is rejected or answered as unknown because of its key",
		func(age time.Duration, firstBody string, want execute.Rejection, outcome model.Outcome) {
			var r execute.Response
			suite.InBubble(func() {
				cl := newCluster()
				defer cl.close()
				key := keyAt(time.Now().Add(-age))
				if firstBody != "" {
					cl.daemons[0].send(key, firstBody, true)
				}
				r = cl.daemons[1].send(key, "b", true)
			})
			Expect(r.Rejection).To(Equal(want))
			Expect(r.Outcome).To(Equal(outcome))
		},
		Entry("5 minutes ahead", -5*time.Minute+time.Second, "", execute.RejectNone, model.OutcomeComplete),
		Entry("more than 5 minutes ahead", -5*time.Minute-time.Second, "", execute.RejectKeyFromFuture, model.Outcome("")),
		Entry("as old as the retention", 24*time.Hour, "", execute.RejectNone, model.OutcomeComplete),
		Entry("older than the retention", 24*time.Hour+time.Second, "", execute.RejectNone, model.OutcomeUnknown),
		Entry("used for other content", time.Second, "a", execute.RejectContentMismatch, model.Outcome("")),
	)
})

func repeat(f scripted.Fault, n int) faultList {
	out := make(faultList, n)
	for i := range out {
		out[i] = f
	}
	return out
}
