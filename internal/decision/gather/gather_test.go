package gather_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestGather(t *testing.T) { suite.Run(t, "./internal/decision/gather") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = DescribeTable("Decide",
	func(answered, open int, minCoverage float64, late bool, want gather.Verdict) {
		s := gather.State{Shards: 20, Answered: answered, Open: open, MinCoverage: minCoverage, Due: start}
		now := start.Add(-time.Millisecond)
		if late {
			now = start
		}
		Expect(gather.Decide(s, now)).To(Equal(want))
	},
	Entry("all shards answered", 20, 0, 0.89, false, gather.Answer),
	Entry("waits for open shards within the target", 19, 1, 0.89, false, gather.Wait),
	Entry("answers with enough when due", 18, 2, 0.89, true, gather.Answer),
	Entry("waits for the least coverage after the target", 17, 3, 0.89, true, gather.Wait),
	Entry("answers at once when nothing else can come", 18, 0, 0.89, false, gather.Answer),
	Entry("fails at once when the coverage cannot be reached", 10, 7, 0.89, false, gather.Fail),
	Entry("needs a shard even without a least coverage", 0, 0, 0.0, true, gather.Fail),
)

var _ = DescribeTable("Due leaves a partial answer the time to reach its caller within the target",
	func(path gather.CallerPath, target, travel time.Duration) {
		// Guards against answers of distant callers that are given within the target and arrive after it.
		due := gather.Due(start, target, path, 0).Sub(start)
		Expect(due + travel).To(BeNumerically("<=", target-4*time.Millisecond))
		Expect(due + travel).To(BeNumerically(">=", target*9/10))
	},
	Entry("a near caller", gather.CallerPath{RoundTrip: 2 * time.Millisecond}, 100*time.Millisecond, 2*time.Millisecond),
	Entry("a distant caller", gather.CallerPath{RoundTrip: 6 * time.Millisecond}, 100*time.Millisecond, 6*time.Millisecond),
	Entry("a distant caller that connected first", gather.CallerPath{RoundTrip: 6 * time.Millisecond, NewConnection: true},
		100*time.Millisecond, 12*time.Millisecond),
	Entry("a caller in another region", gather.CallerPath{RoundTrip: 24 * time.Millisecond, NewConnection: true},
		150*time.Millisecond, 48*time.Millisecond),
	Entry("a caller whose way is not known", gather.CallerPath{}, 100*time.Millisecond, 4*time.Millisecond),
)

var _ = It("Due leaves a slow daemon the time to write its answer, up to a quarter of the target", func() {
	// Guards against answers of busy or small instances that are given within the target and written after it.
	const target = 100 * time.Millisecond
	quick := gather.Due(start, target, gather.CallerPath{}, 0)
	Expect(gather.Due(start, target, gather.CallerPath{}, 7*time.Millisecond)).To(Equal(quick.Add(-7 * time.Millisecond)))
	Expect(gather.Due(start, target, gather.CallerPath{}, time.Second)).To(Equal(quick.Add(-25 * time.Millisecond)))
})

var _ = It("Due does not hurry an answer that is too far away to meet the target", func() {
	// Guards against answers that lack shards and are late all the same.
	path := gather.CallerPath{RoundTrip: 300 * time.Millisecond}
	Expect(gather.Due(start, 100*time.Millisecond, path, 0)).To(Equal(start.Add(50 * time.Millisecond)))
})

var _ = It("Lag follows what most of the latest answers took, not the slowest one", func() {
	var l gather.Lag
	assumed := l.Bound()
	Expect(assumed).To(BeNumerically(">", 0))
	l.Observe(time.Second)
	Expect(l.Bound()).To(Equal(assumed))
	for range 16 {
		l.Observe(9 * time.Millisecond)
	}
	Expect(l.Bound()).To(Equal(9 * time.Millisecond))
	for range 16 {
		l.Observe(time.Millisecond)
	}
	Expect(l.Bound()).To(Equal(time.Millisecond))
})

var _ = It("HedgeDelay stays between its bounds and follows the latency in between", func() {
	const due = 100 * time.Millisecond
	Expect(gather.HedgeDelay(0, due)).To(Equal(45 * time.Millisecond))
	Expect(gather.HedgeDelay(time.Millisecond, due)).To(Equal(17 * time.Millisecond))
	Expect(gather.HedgeDelay(25*time.Millisecond, due)).To(Equal(25 * time.Millisecond))
	Expect(gather.HedgeDelay(time.Second, due)).To(Equal(45 * time.Millisecond))
})

var _ = It("MergeWait leaves an answer that is due soon most of its time", func() {
	// Guards against replies that wait for others for a large part of a short latency target.
	Expect(gather.MergeWait(20 * time.Millisecond)).To(BeNumerically("<", 2*time.Millisecond))
	Expect(gather.MergeWait(time.Second)).To(Equal(6 * time.Millisecond))
})

var _ = It("Postpone holds second attempts back while most shards are open, up to the latest useful time", func() {
	// Guards against a daemon that is short of processor time and doubles its own load.
	const due = 100 * time.Millisecond
	soon, latest := start.Add(20*time.Millisecond), start.Add(45*time.Millisecond)
	Expect(gather.PostponeHedge(90, 60, start, due, soon)).To(Equal(latest))
	Expect(gather.PostponeHedge(90, 60, start, due, latest)).To(BeZero())
	Expect(gather.PostponeHedge(90, 20, start, due, soon)).To(BeZero())
	Expect(gather.PostponeHedge(4, 4, start, due, soon)).To(BeZero())
})

var _ = Describe("MergeRecords", func() {
	It("takes the greatest records of all replies, with equal ones, and no rest", func() {
		record := func(c byte) string { return string(slices.Repeat([]byte{c}, gather.RecordBytes)) }
		replies := [][]byte{
			[]byte(record('b') + record('d') + "short"), []byte(record('d') + record('a') + record('c')),
		}
		Expect(string(gather.MergeRecords(replies, 3))).To(Equal(record('d') + record('d') + record('c')))
		Expect(string(gather.MergeRecords(replies, 9))).To(HaveLen(5 * gather.RecordBytes))
		Expect(gather.MergeRecords(nil, 3)).To(BeEmpty())
	})

	It("gives the same when some replies were merged before", func() {
		// Guards against an answer that differs by the way on which its parts came.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			body := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 6*gather.RecordBytes)
			bodies := rapid.SliceOfN(body, 1, 6).Draw(t, "bodies")
			limit := rapid.IntRange(1, 5).Draw(t, "limit")
			cut := rapid.IntRange(0, len(bodies)).Draw(t, "cut")
			some := gather.MergeRecords(bodies[:cut], limit)
			Expect(gather.MergeRecords(append([][]byte{some}, bodies[cut:]...), limit)).
				To(Equal(gather.MergeRecords(bodies, limit)))
		})
	})
})
