package observe

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/pprof/profile"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/measure/labels"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestObserve(t *testing.T) { suite.Run(t, "./internal/measure/observe") }

const text = "query-7"

var maps = ShardMaps{1: {"a": 0.5, "b": 0.25, "c": 0.25}}

func items(shards ...model.ShardName) []model.Item {
	var out []model.Item
	for _, sh := range shards {
		out = append(out, backendserver.Generate(
			backendserver.Content{Shard: sh, Epoch: 1, Version: 3, Text: text, Items: 2}, 2)...)
	}
	return out
}

// correctAnswer returns a correct answer, without headers, that has the items of the given shards.
func correctAnswer(shards ...model.ShardName) *Answer {
	a := &Answer{Text: text, Received: true}
	a.Body.Epoch, a.Body.Version, a.Body.Outcome = 1, 3, model.OutcomePartial
	a.Body.Items = items(shards...)
	a.Body.Coverage = model.Coverage{ShardsAsked: 3, ShardsAnswered: len(shards)}
	for name, f := range maps[1] {
		if contains(shards, name) {
			a.Body.Coverage.Fraction += f
		} else {
			a.Body.Coverage.Missing = append(a.Body.Coverage.Missing, name)
		}
	}
	if len(shards) == len(maps[1]) {
		a.Body.Outcome, a.Body.Coverage.Complete = model.OutcomeComplete, true
	}
	return a
}

// trail returns an audit trail without gaps whose changes have the given reasons, newest first.
func trail(reasons ...string) []configdoc.Change {
	var out []configdoc.Change
	for i, reason := range reasons {
		out = append(out, configdoc.Change{Revision: model.Revision(len(reasons) - i), Reason: reason})
	}
	return out
}

func contains(list []model.ShardName, name model.ShardName) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

// setHeaders sets the headers from the body, as a daemon does.
func setHeaders(a *Answer) *Answer {
	a.HeaderOutcome = string(a.Body.Outcome)
	a.HeaderCoverage = strconv.FormatFloat(a.Body.Coverage.Fraction, 'f', 6, 64)
	return a
}

var _ = Describe("the check of an answer", func() {
	// Guards against false answers that the measurement does not count, and correct ones that it does.
	DescribeTable("counts each kind of violation and no other",
		func(shards []model.ShardName, modify func(*Answer), want Violations) {
			a := correctAnswer(shards...)
			modify(a)
			Expect(CheckAnswer(setHeaders(a), maps)).To(Equal(want))
		},
		Entry("complete with correct coverage", []model.ShardName{"a", "b", "c"}, func(*Answer) {}, Violations{}),
		Entry("partial with correct coverage", []model.ShardName{"a"}, func(*Answer) {}, Violations{}),
		Entry("no shard answered", []model.ShardName{}, func(a *Answer) { a.Body.Outcome = model.OutcomeFailed }, Violations{}),
		Entry("items of two index versions", []model.ShardName{"a", "b", "c"}, func(a *Answer) {
			a.Body.Items[0].Body = fmt.Sprintf("a/1/2/%s", text)
		}, Violations{MixedSnapshot: 1}),
		Entry("an item of another shard map", []model.ShardName{"a", "b", "c"}, func(a *Answer) {
			a.Body.Items[0].Body = fmt.Sprintf("a/2/3/%s", text)
		}, Violations{MixedSnapshot: 1}),
		Entry("an item of another query", []model.ShardName{"a", "b", "c"}, func(a *Answer) {
			a.Body.Items[0].Body = "a/1/3/query-8"
		}, Violations{CrossedAnswer: 1}),
		Entry("complete without the items of a shard", []model.ShardName{"a", "b", "c"}, func(a *Answer) {
			a.Body.Items = items("a", "b")
		}, Violations{FalseCoverage: 1}),
		Entry("complete with a shard listed as missing", []model.ShardName{"a", "b"}, func(a *Answer) {
			a.Body.Outcome = model.OutcomeComplete
		}, Violations{FalseCoverage: 1}),
		Entry("partial with a wrong fraction", []model.ShardName{"a"}, func(a *Answer) {
			a.Body.Coverage.Fraction = 0.9
		}, Violations{FalseCoverage: 1}),
		Entry("not run, with items", []model.ShardName{"a"}, func(a *Answer) {
			a.Body.Outcome = model.OutcomeNotRun
		}, Violations{FalseCoverage: 1}),
		Entry("response not received as a whole", []model.ShardName{}, func(a *Answer) { a.Received = false }, Violations{CutOff: 1}),
	)

	// Guards against counting rejected requests as answers with false coverage.
	It("accepts a problem response unless it has items", func() {
		a := &Answer{Text: text, Received: true, HeaderOutcome: string(model.OutcomeNotRun)}
		Expect(CheckAnswer(a, maps)).To(Equal(Violations{}))
		a.Body.Items = items("a")
		a.Body.Epoch, a.Body.Version = 1, 3
		Expect(CheckAnswer(a, maps)).To(Equal(Violations{FalseCoverage: 1}))
	})

	// Guards against checking the body only: callers may read the outcome from the header.
	It("counts an outcome in the header that differs from the body", func() {
		a := setHeaders(correctAnswer("a"))
		a.HeaderOutcome = string(model.OutcomeComplete)
		Expect(CheckAnswer(a, maps)).To(Equal(Violations{FalseCoverage: 1}))
	})

	// Guards against counting answers that overtake each other on the network as a reverted configuration.
	It("counts an answer at a lower revision than one received before the query was sent", func() {
		c := NewCollector(maps)
		newer, older := setHeaders(correctAnswer("a")), setHeaders(correctAnswer("a"))
		newer.Body.Revision, older.Body.Revision = 2, 1
		c.Add(newer, 0)
		c.Add(older, 0) // sent before the newer answer was received, so not a violation
		c.Add(older, c.Revision(0))
		total := Violations{}
		for _, s := range c.Samples() {
			total.Add(s.Violations)
		}
		Expect(total).To(Equal(Violations{ConfigReverted: 1}))
	})
})

var _ = Describe("figures", func() {
	// Guards against figures that count answers received after the measured time, or executions of other requests.
	It("computes extra load from the records and goodput by the time of the answer", func() {
		samples := []Sample{
			{At: -100 * time.Millisecond, Latency: 200 * time.Millisecond, Outcome: model.OutcomeComplete},
			{At: 0, Latency: 100 * time.Millisecond, Outcome: model.OutcomeComplete, Coverage: 1, Request: "1", Shards: 4},
			{At: time.Second, Latency: 300 * time.Millisecond, Outcome: model.OutcomePartial, Coverage: 0.5, Request: "2", Shards: 4},
			{At: 1500 * time.Millisecond, Latency: time.Second, Outcome: model.OutcomeComplete, Coverage: 1, Request: "3", Shards: 4},
			{At: 1600 * time.Millisecond, Outcome: model.OutcomeNotRun, Request: "4"},
			{At: 1700 * time.Millisecond, Outcome: model.OutcomeNotRun, Request: "5"},
		}
		executions := Executions{"1": 4, "2": 5, "3": 6, "5": 1, "other": 9}
		f := Compute(samples, executions, 2*time.Second, func(*Sample) bool { return true })
		Expect(f.Offered).To(Equal(5))
		Expect(f.ExtraLoad).To(Equal(15.0 / 12))
		Expect(f.Coverage).To(BeNumerically("~", 2.5/3, 1e-9))
		Expect(f.CoverageOffered).To(Equal(0.5))
		Expect(f.Goodput).To(Equal(1.0)) // sent at -100 ms and 0; the last answer was received too late
		Expect(f.LastIncomplete).To(Equal(1700 * time.Millisecond))
		Expect(f.P50).To(BeNumerically("~", 300, 1))
		Expect(f.Violations).To(Equal(Violations{FalseNotRun: 1}))
	})

	// Guards against violations that no caller can see and that are not counted.
	It("counts late work on a leaving server and a key that ran twice", func() {
		left := time.Now()
		at := func(d time.Duration) backendserver.Execution {
			return backendserver.Execution{Server: "s", Attempt: backend.AttemptID{Request: "1"}, Start: left.Add(d)}
		}
		v := CheckRecord(
			[]backendserver.Execution{at(-time.Second), at(maxWorkAfterLeave), at(maxWorkAfterLeave + time.Millisecond)},
			map[string]int{"once": 1, "twice": 2}, LeaveTimes{"s": left})
		Expect(v).To(Equal(Violations{WorkAfterLeave: 1, DoubleRun: 1}))
	})

	// Guards against answers that contradict the runs on the servers and are not counted.
	It("compares the answers to non-idempotent requests with the runs on the servers", func() {
		done := CommandAnswer{Outcome: model.OutcomeComplete, Received: true}
		notRun := CommandAnswer{Outcome: model.OutcomeNotRun, Received: true}
		unknown := CommandAnswer{Outcome: model.OutcomeUnknown, Received: true}
		cut := CommandAnswer{Outcome: model.OutcomeUnknown}
		notReady := CommandAnswer{Outcome: model.OutcomeNotRun, Received: true, Problem: problemNotReady}
		v := CheckCommands([]Command{
			{Key: "ran", Answers: []CommandAnswer{done}},
			{Key: "ran-late", Answers: []CommandAnswer{notRun, done}},
			{Key: "lost", Answers: []CommandAnswer{unknown, unknown}},
			{Key: "denied", Answers: []CommandAnswer{notRun, notRun}},
			{Key: "invented", Answers: []CommandAnswer{done}},
			{Key: "cut", Answers: []CommandAnswer{cut, unknown}},
			{Key: "refused", Answers: []CommandAnswer{notReady, notReady}},
		}, map[string]int{"ran": 1, "ran-late": 1, "lost": 1, "denied": 1})
		Expect(v).To(Equal(Violations{FalseNotRun: 1, FalseComplete: 1, CutOff: 1, Unconfigured: 2}))
	})

	// Guards against lost or repeated configuration changes that are not counted.
	DescribeTable("compares the verdicts of edits with the audit trail",
		func(verdict configure.Verdict, revision model.Revision, trail []configdoc.Change, violations int) {
			edits := []Edit{{Reason: "mine", Verdict: verdict, Revision: revision}}
			Expect(CheckEdits(edits, trail)).To(Equal(Violations{FalseEdit: violations}))
		},
		Entry("accepted and in the trail", configure.Accepted, model.Revision(2), trail("mine", "first"), 0),
		Entry("accepted and not in the trail", configure.Accepted, model.Revision(2), trail("other", "first"), 1),
		Entry("accepted at another revision", configure.Accepted, model.Revision(1), trail("mine", "first"), 1),
		Entry("accepted twice", configure.Accepted, model.Revision(2), trail("mine", "mine", "first"), 1),
		Entry("rejected and in the trail", configure.NotAccepted, model.Revision(0), trail("mine", "first"), 1),
		Entry("unknown and in the trail", configure.Unknown, model.Revision(0), trail("mine", "first"), 0),
		Entry("a gap in the trail", configure.Unknown, model.Revision(0), append(trail("a", "b", "c")[:1], trail("c")...), 1),
	)

	// Guards against CPU times of the daemons that include the emulated network or the stand-ins.
	It("attributes CPU time to the innermost known function, and unlabelled time by the daemons' fraction", func() {
		stack := func(component string, us int64, functions ...string) *profile.Sample {
			s := &profile.Sample{Value: []int64{1, us * 1000}, Label: map[string][]string{}}
			if component != "" {
				s.Label[labels.Component] = []string{component}
			}
			for _, f := range functions {
				s.Location = append(s.Location, &profile.Location{Line: []profile.Line{{Function: &profile.Function{Name: f}}}})
			}
			return s
		}
		const own = "oleandersill.example/oleandersill/internal/"
		p := &profile.Profile{SampleType: make([]*profile.ValueType, 2), Sample: []*profile.Sample{
			stack(labels.Daemon, 30, "runtime.mallocgc", "encoding/json.Marshal", own+"dispatch.run"),
			stack(labels.Daemon, 20, "syscall.write", "net.(*conn).Write", own+"measure/cluster.(*conn).Write", "net/http.x"),
			stack(labels.Daemon, 500, "time.Sleep", own+"measure/cluster.(*conn).Write", "net/http.x"),
			stack(labels.Daemon, 10, "runtime.mallocgc", own+"decision/routing.Choose"),
			stack(labels.Standin, 40, "encoding/json.Marshal"),
			stack("", 100, "runtime.gcBgMarkWorker"),
		}}
		cpu := SplitCPU(p, 10)
		Expect(cpu).To(Equal(CPU{
			Codec: 3, Network: 2, Decision: 1, Runtime: 1, Total: 7, Process: 70, SubRequests: 10,
		}))
	})
})
