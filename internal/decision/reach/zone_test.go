package reach_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/reach"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestReach(t *testing.T) { suite.Run(t, "./internal/decision/reach") }

var start = time.Unix(1_000_000, 0)

// unanswered returns a call to target that began at the given offset from start and was detected as unanswered when due.
func unanswered(kind reach.TargetKind, target string, began time.Duration) reach.UnansweredCall {
	due := start.Add(began + reach.AckTimeout(0))
	return reach.UnansweredCall{Kind: kind, Target: target, Began: start.Add(began), Due: due, Noticed: due}
}

func server(name string) reach.UnansweredCall {
	return unanswered(reach.Server, name, time.Millisecond)
}
func daemon(name string) reach.UnansweredCall {
	return unanswered(reach.Daemon, name, time.Millisecond)
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

	DescribeTable("returns a verdict on a zone",
		func(verdict reach.Verdict, daemons []model.Member, calls ...reach.UnansweredCall) {
			var e reach.Evidence
			now := start.Add(500 * time.Millisecond)
			for _, c := range calls {
				e.Add(c, start, now)
			}
			Expect(e.Verdict(daemons, start, now)).To(Equal(verdict))
		},
		Entry("no unanswered calls", reach.Reachable, fleet("x", "y")),
		Entry("three servers", reach.Unreachable, fleet("x", "y"), server("a"), server("b"), server("c")),
		Entry("two servers", reach.Suspected, fleet("x", "y"), server("a"), server("b")),
		Entry("one server, several times", reach.Suspected, nil, server("a"), server("a"), server("a"), server("a")),
		Entry("one daemon of two, several times", reach.Suspected, fleet("x", "y"), daemon("x"), daemon("x"), daemon("x")),
		Entry("the only daemon of a zone, several times", reach.Suspected, fleet("x"), daemon("x"), daemon("x"), daemon("x")),
		Entry("all daemons of a zone with two", reach.Unreachable, fleet("x", "y"), daemon("x"), daemon("y")),
		Entry("two daemons of a zone with three", reach.Suspected, fleet("x", "y", "z"), daemon("x"), daemon("y")),
		Entry("two daemons and a server", reach.Unreachable, fleet("x", "y", "z"), daemon("x"), server("a"), daemon("y")),
		Entry("two servers and one that refuses connections", reach.Suspected, nil, server("a"), server("b"), refused),
		Entry("two servers and a call detected late, after a pause", reach.Suspected, nil, server("a"), server("b"), paused),
		Entry("two servers and a call that began before the last answer", reach.Suspected, nil,
			server("a"), server("b"), unanswered(reach.Server, "c", -time.Millisecond)),
		Entry("more targets than the evidence holds", reach.Unreachable, fleet("x"),
			server("a"), server("b"), server("a"), server("c"), server("d")),
	)

	It("ignores old unanswered calls", func() {
		// Guards against an unreachable verdict on a zone with few calls whose servers fail one by one over minutes.
		var e reach.Evidence
		for i, name := range []string{"a", "b", "c"} {
			c := unanswered(reach.Server, name, time.Duration(i)*10*time.Second+time.Millisecond)
			e.Add(c, start, c.Noticed)
			Expect(e.Verdict(nil, start, c.Noticed)).To(Equal(reach.Suspected))
		}
	})

	It("never returns Unreachable for a zone that answers anything while calls are pending", func() {
		// Guards against an unreachable verdict on a slow or overloaded zone, for any number of unanswered calls.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var e reach.Evidence
			lastAnswer := start
			for range rapid.IntRange(1, 50).Draw(t, "calls") {
				began := time.Duration(rapid.IntRange(0, 5000).Draw(t, "began")) * time.Millisecond
				kind := reach.TargetKind(rapid.IntRange(0, 1).Draw(t, "kind"))
				c := unanswered(kind, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"), began)
				answer := c.Began.Add(time.Duration(rapid.IntRange(0, 249).Draw(t, "answer")) * time.Millisecond)
				if answer.After(lastAnswer) {
					lastAnswer = answer
				}
				e.Add(c, lastAnswer, c.Noticed)
				if e.Verdict(fleet("a", "b"), lastAnswer, c.Noticed) == reach.Unreachable {
					t.Fatalf("verdict is Unreachable although the zone answered")
				}
			}
		})
	})
})
