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

// silence is a call to target that began at the given time and was noticed as silent when it was due.
func silence(kind reach.TargetKind, target string, began time.Duration) reach.UnansweredCall {
	due := start.Add(began + reach.AckTimeout(0))
	return reach.UnansweredCall{Kind: kind, Target: target, Began: start.Add(began), Due: due, Noticed: due}
}

func server(name string) reach.UnansweredCall { return silence(reach.Server, name, time.Millisecond) }
func daemon(name string) reach.UnansweredCall { return silence(reach.Daemon, name, time.Millisecond) }

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

	DescribeTable("judges a zone",
		func(verdict reach.Verdict, daemons []model.Member, silences ...reach.UnansweredCall) {
			var e reach.Evidence
			now := start.Add(500 * time.Millisecond)
			for _, s := range silences {
				e.Add(s, start, now)
			}
			Expect(e.Verdict(daemons, start, now)).To(Equal(verdict))
		},
		Entry("nothing was noticed", reach.Reachable, fleet("x", "y")),
		Entry("three servers", reach.Unreachable, fleet("x", "y"), server("a"), server("b"), server("c")),
		Entry("two servers", reach.Suspected, fleet("x", "y"), server("a"), server("b")),
		Entry("one lost server, many times", reach.Suspected, nil, server("a"), server("a"), server("a"), server("a")),
		Entry("one lost daemon of several", reach.Suspected, fleet("x", "y"), daemon("x"), daemon("x"), daemon("x")),
		Entry("one lost daemon, the only one", reach.Suspected, fleet("x"), daemon("x"), daemon("x"), daemon("x")),
		Entry("all daemons of a zone with two", reach.Unreachable, fleet("x", "y"), daemon("x"), daemon("y")),
		Entry("two daemons of three", reach.Suspected, fleet("x", "y", "z"), daemon("x"), daemon("y")),
		Entry("two daemons and a server", reach.Unreachable, fleet("x", "y", "z"), daemon("x"), server("a"), daemon("y")),
		Entry("a server that refuses connections answers", reach.Suspected, nil, server("a"), server("b"), refused),
		Entry("a silence noticed late, after a pause", reach.Suspected, nil, server("a"), server("b"), paused),
		Entry("calls from before the last answer", reach.Suspected, nil,
			server("a"), server("b"), silence(reach.Server, "c", -time.Millisecond)),
		Entry("more targets than are kept", reach.Unreachable, fleet("x"),
			server("a"), server("b"), server("a"), server("c"), server("d")),
	)

	It("forgets old silences", func() {
		// Guards against servers that are lost one by one over minutes in a zone that is asked rarely.
		var e reach.Evidence
		for i, name := range []string{"a", "b", "c"} {
			s := silence(reach.Server, name, time.Duration(i)*10*time.Second+time.Millisecond)
			e.Add(s, start, s.Noticed)
			Expect(e.Verdict(nil, start, s.Noticed)).To(Equal(reach.Suspected))
		}
	})

	It("holds no zone unreachable that answers anything while calls are pending", func() {
		// Guards against a slow or overloaded zone being taken for a lost one, whatever the number of silent calls.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var e reach.Evidence
			heard := start
			for range rapid.IntRange(1, 50).Draw(t, "calls") {
				began := time.Duration(rapid.IntRange(0, 5000).Draw(t, "began")) * time.Millisecond
				kind := reach.TargetKind(rapid.IntRange(0, 1).Draw(t, "kind"))
				s := silence(kind, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"), began)
				answer := s.Began.Add(time.Duration(rapid.IntRange(0, 249).Draw(t, "answer")) * time.Millisecond)
				if answer.After(heard) {
					heard = answer
				}
				e.Add(s, heard, s.Noticed)
				if e.Verdict(fleet("a", "b"), heard, s.Noticed) == reach.Unreachable {
					t.Fatalf("unreachable although it answered")
				}
			}
		})
	})
})
