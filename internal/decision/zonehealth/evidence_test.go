package zonehealth_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/zonehealth"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestZoneHealth(t *testing.T) { suite.Run(t, "./internal/decision/zonehealth") }

var start = time.Unix(1_000_000, 0)

// unanswered returns a call to target that began at the given offset from start and was detected as unanswered when due.
func unanswered(kind zonehealth.TargetKind, target string, began time.Duration) zonehealth.UnansweredCall {
	due := start.Add(began + zonehealth.AckTimeout(0))
	return zonehealth.UnansweredCall{Kind: kind, Target: target, Began: start.Add(began), Due: due, Noticed: due}
}

func server(name string) zonehealth.UnansweredCall {
	return unanswered(zonehealth.Server, name, time.Millisecond)
}
func daemon(name string) zonehealth.UnansweredCall {
	return unanswered(zonehealth.Daemon, name, time.Millisecond)
}

func fleet(names ...model.InstanceID) []model.Member {
	var out []model.Member
	for _, name := range names {
		out = append(out, model.Member{Instance: name})
	}
	return out
}

var _ = Describe("Evidence", func() {
	refused, paused := server("c"), server("c")
	refused.Noticed = refused.Began.Add(2 * time.Millisecond)
	paused.Noticed = paused.Due.Add(time.Second)

	// Guards against an unreachable verdict because of a few failed or paused processes, and against a zone that counts as
	// reachable although none of its processes replies.
	DescribeTable("returns a verdict on a zone",
		func(verdict zonehealth.Verdict, daemons []model.Member, calls ...zonehealth.UnansweredCall) {
			var e zonehealth.Evidence
			now := start.Add(500 * time.Millisecond)
			for _, c := range calls {
				e.Add(c, start, now)
			}
			Expect(e.Verdict(daemons, start, now)).To(Equal(verdict))
		},
		Entry("no unanswered calls", zonehealth.Reachable, fleet("x", "y")),
		Entry("three servers", zonehealth.Unreachable, fleet("x", "y"), server("a"), server("b"), server("c")),
		Entry("two servers", zonehealth.Suspected, fleet("x", "y"), server("a"), server("b")),
		Entry("one server, several times", zonehealth.Suspected, nil, server("a"), server("a"), server("a"), server("a")),
		Entry("one daemon of two, several times", zonehealth.Suspected, fleet("x", "y"), daemon("x"), daemon("x"), daemon("x")),
		Entry("the only daemon of a zone, several times", zonehealth.Suspected, fleet("x"), daemon("x"), daemon("x"), daemon("x")),
		Entry("all daemons of a zone with two", zonehealth.Unreachable, fleet("x", "y"), daemon("x"), daemon("y")),
		Entry("two daemons of a zone with three", zonehealth.Suspected, fleet("x", "y", "z"), daemon("x"), daemon("y")),
		Entry("two daemons and a server", zonehealth.Unreachable, fleet("x", "y", "z"), daemon("x"), server("a"), daemon("y")),
		Entry("two servers and one that refuses connections", zonehealth.Suspected, nil, server("a"), server("b"), refused),
		Entry("two servers and a call detected late, after a pause", zonehealth.Suspected, nil, server("a"), server("b"), paused),
		Entry("two servers and a call that began before the last reply", zonehealth.Suspected, nil,
			server("a"), server("b"), unanswered(zonehealth.Server, "c", -time.Millisecond)),
		Entry("more targets than the evidence holds", zonehealth.Unreachable, fleet("x"),
			server("a"), server("b"), server("a"), server("c"), server("d")),
	)

	It("ignores old unanswered calls", func() {
		// Guards against an unreachable verdict on a zone with few calls whose servers fail one by one over minutes.
		var e zonehealth.Evidence
		for i, name := range []string{"a", "b", "c"} {
			c := unanswered(zonehealth.Server, name, time.Duration(i)*10*time.Second+time.Millisecond)
			e.Add(c, start, c.Noticed)
			Expect(e.Verdict(nil, start, c.Noticed)).To(Equal(zonehealth.Suspected))
		}
	})

	It("never returns Unreachable for a zone that replies to anything while calls are pending", func() {
		// Guards against an unreachable verdict on a slow or overloaded zone, for any number of unanswered calls.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var e zonehealth.Evidence
			lastReply := start
			for range rapid.IntRange(1, 50).Draw(t, "calls") {
				began := time.Duration(rapid.IntRange(0, 5000).Draw(t, "began")) * time.Millisecond
				kind := zonehealth.TargetKind(rapid.IntRange(0, 1).Draw(t, "kind"))
				c := unanswered(kind, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"), began)
				reply := c.Began.Add(time.Duration(rapid.IntRange(0, 249).Draw(t, "reply")) * time.Millisecond)
				if reply.After(lastReply) {
					lastReply = reply
				}
				e.Add(c, lastReply, c.Noticed)
				if e.Verdict(fleet("a", "b"), lastReply, c.Noticed) == zonehealth.Unreachable {
					t.Fatalf("verdict is Unreachable although the zone replied")
				}
			}
		})
	})
})
