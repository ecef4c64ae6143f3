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
	func(answered, open int, minCoverage float64, due bool, want gather.Verdict) {
		// Guards against partial answers before they are due, and against waiting for replies that cannot come or are not needed.
		s := gather.State{Shards: 20, Answered: answered, Open: open, MinCoverage: minCoverage, Due: start}
		now := start.Add(-time.Millisecond)
		if due {
			now = start
		}
		Expect(gather.Decide(s, now)).To(Equal(want))
	},
	Entry("all shards answered", 20, 0, 0.89, false, gather.Answer),
	Entry("waits for open shards before the answer is due", 19, 1, 0.89, false, gather.Wait),
	Entry("answers with sufficient coverage when due", 18, 2, 0.89, true, gather.Answer),
	Entry("waits for the required coverage even when due", 17, 3, 0.89, true, gather.Wait),
	Entry("answers immediately when no shard is open", 18, 0, 0.89, false, gather.Answer),
	Entry("fails immediately when the required coverage cannot be reached", 10, 7, 0.89, false, gather.Fail),
	Entry("requires one shard even without a required coverage", 0, 0, 0.0, true, gather.Fail),
)

var _ = DescribeTable("Due leaves a partial answer enough time to reach its caller within the target",
	func(path gather.CallerPath, target, networkTime time.Duration) {
		// Guards against answers that are sent within the target but reach distant callers after it.
		due := gather.Due(start, target, path, 0).Sub(start)
		Expect(due + networkTime).To(BeNumerically("<=", target-4*time.Millisecond))
		Expect(due + networkTime).To(BeNumerically(">=", target*9/10))
	},
	Entry("a nearby caller", gather.CallerPath{RoundTrip: 2 * time.Millisecond}, 100*time.Millisecond, 2*time.Millisecond),
	Entry("a distant caller", gather.CallerPath{RoundTrip: 6 * time.Millisecond}, 100*time.Millisecond, 6*time.Millisecond),
	Entry("a distant caller on a new connection", gather.CallerPath{RoundTrip: 6 * time.Millisecond, NewConnection: true},
		100*time.Millisecond, 12*time.Millisecond),
	Entry("a caller in another region", gather.CallerPath{RoundTrip: 24 * time.Millisecond, NewConnection: true},
		150*time.Millisecond, 48*time.Millisecond),
	Entry("a caller whose round-trip time is not known", gather.CallerPath{}, 100*time.Millisecond, 4*time.Millisecond),
)

var _ = It("Due leaves a slow daemon enough time to write its answer, up to a quarter of the target", func() {
	// Guards against answers of busy or small instances that are decided within the target but written after it.
	const target = 100 * time.Millisecond
	withoutLag := gather.Due(start, target, gather.CallerPath{}, 0)
	Expect(gather.Due(start, target, gather.CallerPath{}, 7*time.Millisecond)).To(Equal(withoutLag.Add(-7 * time.Millisecond)))
	Expect(gather.Due(start, target, gather.CallerPath{}, time.Second)).To(Equal(withoutLag.Add(-25 * time.Millisecond)))
})

var _ = It("Due is no earlier than half the target for a caller that is too far away to meet it", func() {
	// Guards against answers that lack shards although they are late anyway.
	path := gather.CallerPath{RoundTrip: 300 * time.Millisecond}
	Expect(gather.Due(start, 100*time.Millisecond, path, 0)).To(Equal(start.Add(50 * time.Millisecond)))
})

var _ = It("Lag follows the latest answers and ignores a single outlier", func() {
	// Guards against one slow answer that makes all following answers lack shards.
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

var _ = It("HedgeDelay follows the observed latency within its bounds, and leaves a second attempt more than its time", func() {
	// Guards against hedges that cost work for little benefit and hedges that come too late to be useful.
	const due = 100 * time.Millisecond
	const slowSecond = 80 * time.Millisecond
	Expect(gather.HedgeDelay(0, slowSecond, due)).To(Equal(50 * time.Millisecond))
	Expect(gather.HedgeDelay(time.Millisecond, slowSecond, due)).To(Equal(17 * time.Millisecond))
	Expect(gather.HedgeDelay(25*time.Millisecond, slowSecond, due)).To(Equal(25 * time.Millisecond))
	Expect(gather.HedgeDelay(time.Second, slowSecond, due)).To(Equal(50 * time.Millisecond))
	Expect(gather.HedgeDelay(25*time.Millisecond, 40*time.Millisecond, due)).To(Equal(40 * time.Millisecond))
	Expect(gather.HedgeDelay(25*time.Millisecond, time.Millisecond, due)).To(Equal(50 * time.Millisecond))
	Expect(gather.HedgeDelay(25*time.Millisecond, 0, due)).To(Equal(50 * time.Millisecond))
})

var _ = It("MergeWait is a small fraction of the time until the answer is due", func() {
	// Guards against replies that wait for other replies for a large part of a short latency target.
	Expect(gather.MergeWait(20 * time.Millisecond)).To(BeNumerically("<", 2*time.Millisecond))
	Expect(gather.MergeWait(time.Second)).To(Equal(6 * time.Millisecond))
})

var _ = It("PostponeHedge delays hedges while many shards are open, up to the latest useful time", func() {
	// Guards against a daemon short of CPU time that doubles its own load with hedges.
	const due = 100 * time.Millisecond
	soon, latest := start.Add(20*time.Millisecond), start.Add(50*time.Millisecond)
	Expect(gather.PostponeHedge(90, 60, start, due, soon)).To(Equal(latest))
	Expect(gather.PostponeHedge(90, 60, start, due, latest)).To(BeZero())
	Expect(gather.PostponeHedge(90, 20, start, due, soon)).To(BeZero())
	Expect(gather.PostponeHedge(4, 4, start, due, soon)).To(BeZero())
})

var _ = Describe("MergeRecords", func() {
	It("keeps the greatest records of all replies, including duplicates, and drops incomplete records", func() {
		// Guards against records that are lost, out of order or made of the remainder of a reply.
		record := func(c byte) string { return string(slices.Repeat([]byte{c}, gather.RecordBytes)) }
		replies := [][]byte{
			[]byte(record('b') + record('d') + "short"), []byte(record('d') + record('a') + record('c')),
		}
		Expect(string(gather.MergeRecords(replies, 3))).To(Equal(record('d') + record('d') + record('c')))
		Expect(string(gather.MergeRecords(replies, 9))).To(HaveLen(5 * gather.RecordBytes))
		Expect(gather.MergeRecords(nil, 3)).To(BeEmpty())
	})

	It("gives the same result when some replies were already merged", func() {
		// Guards against an answer that depends on which daemon merged which replies.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			body := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 6*gather.RecordBytes)
			bodies := rapid.SliceOfN(body, 1, 6).Draw(t, "bodies")
			limit := rapid.IntRange(1, 5).Draw(t, "limit")
			cut := rapid.IntRange(0, len(bodies)).Draw(t, "cut")
			merged := gather.MergeRecords(bodies[:cut], limit)
			Expect(gather.MergeRecords(append([][]byte{merged}, bodies[cut:]...), limit)).
				To(Equal(gather.MergeRecords(bodies, limit)))
		})
	})
})
