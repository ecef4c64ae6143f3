package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestRouting(t *testing.T) { suite.Run(t, "./internal/decision/routing") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func usable(latency time.Duration) routing.Candidate {
	return routing.Candidate{Usable: true, Limit: 2, Latency: latency, RampUpFraction: 1}
}

var _ = Describe("Choose", func() {
	rnd := rand.New(rand.NewPCG(1, 2))
	slow, fast := usable(50*time.Millisecond), usable(5*time.Millisecond)
	busy := usable(5 * time.Millisecond)
	busy.Pending = 40
	cold := usable(5 * time.Millisecond)
	cold.RampUpFraction = 0.05
	failing := usable(5 * time.Millisecond)
	failing.FailureRate = 0.2
	probe := routing.Candidate{Probe: true}
	ejected := routing.Candidate{}
	near, far := usable(0), usable(0)
	far.Locality = routing.OtherRegion

	// Guards against attempts sent to a slow, busy, cold, failing or distant replica while a better one is usable.
	DescribeTable("returns the better of two replicas",
		func(cs []routing.Candidate, want int) {
			for range 50 {
				i, ok := routing.Choose(cs, rnd)
				Expect(ok).To(BeTrue())
				Expect(i).To(Equal(want))
			}
		},
		Entry("a straggler is avoided", []routing.Candidate{slow, fast}, 1),
		Entry("a slow server is preferred to one with a long queue", []routing.Candidate{slow, busy}, 0),
		Entry("a cold server is avoided", []routing.Candidate{cold, fast}, 1),
		Entry("a server with a failure rate of 0.2 is avoided", []routing.Candidate{failing, usable(6 * time.Millisecond)}, 1),
		Entry("an ejected server is not chosen", []routing.Candidate{fast, ejected}, 0),
		Entry("a due probe comes first", []routing.Candidate{fast, probe}, 1),
		Entry("the nearer server is preferred without observations", []routing.Candidate{far, near}, 1),
	)

	DescribeTable("returns the near replica regardless of the number of distant ones",
		// Guards against attempts that go to another region because the near replica was not one of the two drawn.
		func(distant int) {
			near, far := usable(5*time.Millisecond), usable(29*time.Millisecond)
			cs := slices.Repeat([]routing.Candidate{far}, distant)
			cs = append(cs, near)
			for range 50 {
				i, _ := routing.Choose(cs, rnd)
				Expect(i).To(Equal(distant))
			}
		},
		Entry("one", 1), Entry("two", 2), Entry("five", 5),
	)

	It("assumes the latency of other replicas, without their extra round-trip time, for one without observations", func() {
		// Guards against a near replica that is never tried because only distant ones were observed.
		far := routing.Candidate{Usable: true, Locality: routing.OtherRegion, Latency: 40 * time.Millisecond, Limit: 4, Slots: 2}
		near := routing.Candidate{Usable: true, Locality: routing.SameRegion, Limit: 4, Slots: 2}
		for range 20 {
			i, _ := routing.Choose([]routing.Candidate{far, near, far}, rnd)
			Expect(i).To(Equal(1))
		}
	})

	It("distributes attempts over replicas with a cost close to the lowest", func() {
		// Guards against all daemons choosing the server with the lowest estimate at the moment.
		cs := []routing.Candidate{usable(100), usable(110), usable(120), usable(150)}
		counts := make([]int, len(cs))
		for range 3000 {
			i, _ := routing.Choose(cs, rnd)
			counts[i]++
		}
		Expect(counts[0]).To(BeNumerically("~", 2000, 200))
		Expect(counts[1]).To(BeNumerically("~", 1000, 200))
		Expect(counts[3]).To(BeZero())
	})

	It("returns false if no replica is usable", func() {
		// Guards against attempts sent to ejected servers before a probe is due.
		_, ok := routing.Choose([]routing.Candidate{ejected, ejected}, rnd)
		Expect(ok).To(BeFalse())
	})

	It("chooses each of several equal replicas equally often", func() {
		// Guards against a draw that depends on the order of the replicas and overloads the first ones.
		cs := []routing.Candidate{usable(1), usable(1), usable(1), usable(1)}
		counts := make([]int, len(cs))
		for range 4000 {
			i, _ := routing.Choose(cs, rnd)
			counts[i]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 1000, 200))
		}
	})
})

var _ = Describe("PreferWarm", func() {
	// Guards against requests that use up what a cold server tolerates, and against a shard without a usable server.
	DescribeTable("leaves cold servers with a limit out only if a warm one is usable",
		func(cs []routing.Candidate, want []bool) {
			routing.PreferWarm(cs)
			for i := range cs {
				Expect(cs[i].Usable).To(Equal(want[i]))
			}
		},
		Entry("a busy warm server", []routing.Candidate{{Usable: true, ColdLimited: true}, {Usable: true, Pending: 9}}, []bool{false, true}),
		Entry("no usable warm server", []routing.Candidate{{Usable: true, ColdLimited: true}, {}}, []bool{true, false}),
	)
})

var _ = Describe("AvoidColdServers", func() {
	warm, busy, cold, unusable := usable(5*time.Millisecond), usable(5*time.Millisecond), usable(0), routing.Candidate{RampUpFraction: 1}
	busy.Pending = busy.Limit + 1
	cold.RampUpFraction = 0.9

	// Guards against urgent queries that are the first to reach a cold server, for each daemon and each shard.
	DescribeTable("makes servers in their ramp-up unusable if a warm replica has capacity",
		func(cs []routing.Candidate, want []bool) {
			routing.AvoidColdServers(cs)
			for i := range cs {
				Expect(cs[i].Usable).To(Equal(want[i]))
			}
		},
		Entry("a warm replica has capacity", []routing.Candidate{cold, warm}, []bool{false, true}),
		Entry("one of two warm replicas has capacity", []routing.Candidate{busy, warm, cold}, []bool{true, true, false}),
		Entry("the warm replica is over its limit", []routing.Candidate{busy, cold}, []bool{true, true}),
		Entry("the warm replica is not usable", []routing.Candidate{unusable, cold}, []bool{false, true}),
	)
})

var _ = Describe("Health", func() {
	fail := func(h *routing.Health, n int, now time.Time, mayEject bool) {
		for range n {
			h.OnFailure(now, mayEject)
		}
	}

	It("ejects a server after three failures, probes it once, and ends the ejection on a reply", func() {
		// Guards against a failing server that stays in use, gets several probes at once or is never used again.
		var h routing.Health
		h.OnSuccess(start)
		fail(&h, 2, start, true)
		Expect(h.Ejected()).To(BeFalse())
		fail(&h, 1, start, true)
		Expect(h.Ejected()).To(BeTrue())
		Expect(h.ProbeDue(start.Add(499 * time.Millisecond))).To(BeFalse())
		Expect(h.ProbeDue(start.Add(500 * time.Millisecond))).To(BeTrue())
		h.StartProbe()
		Expect(h.ProbeDue(start.Add(time.Minute))).To(BeFalse(), "one probe at a time")
		h.OnSuccess(start.Add(time.Minute))
		Expect(h.Ejected()).To(BeFalse())
	})

	It("probes an ejected server again within 2 s, however often it failed", func() {
		// Guards the limit of 5 s for the recovery from a network partition.
		var h routing.Health
		h.OnSuccess(start)
		now := start
		fail(&h, 3, now, true)
		for range 20 {
			now = now.Add(2 * time.Second)
			Expect(h.ProbeDue(now)).To(BeTrue())
			h.StartProbe()
			h.OnFailure(now, true)
		}
	})

	It("keeps a failing server in use while the shard's cap is reached, until it has not replied for 1 s", func() {
		// Guards against a shard without usable servers after a burst of failures, and against a dead server that stays in use.
		var h routing.Health
		h.OnSuccess(start)
		fail(&h, 10, start.Add(999*time.Millisecond), false)
		Expect(h.Ejected()).To(BeFalse())
		fail(&h, 1, start.Add(time.Second), false)
		Expect(h.Ejected()).To(BeTrue())
	})
})

var _ = Describe("LatencyEstimator", func() {
	const (
		usual = 5 * time.Millisecond
		slow  = 100 * time.Millisecond
	)
	var estimator routing.LatencyEstimator
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	observe := func(sample time.Duration, at time.Duration) { estimator.Observe(sample, usual, start.Add(at)) }
	value := func(at time.Duration) time.Duration { return estimator.Estimate(usual, start.Add(at)) }
	BeforeEach(func() {
		estimator = routing.LatencyEstimator{}
		observe(usual, 0)
	})

	It("rises immediately on a slow reply", func() {
		// Guards against requests that keep going to a server while it is paused.
		observe(slow, time.Second)
		Expect(value(time.Second)).To(Equal(slow))
	})

	It("recovers within a second of a pause, even if requests are rare", func() {
		// Guards against requests that go to another region for seconds because the near server paused once.
		observe(slow, time.Second)
		Expect(value(2 * time.Second)).To(Equal(usual))
	})

	It("stays high for a server that has been slow for seconds, and recovers within a minute", func() {
		// Guards against a straggler that keeps getting requests, and against one that is never tried again.
		observe(slow, time.Second)
		observe(slow, 3*time.Second)
		observe(slow, 5*time.Second)
		Expect(value(7 * time.Second)).To(BeNumerically(">", slow/2))
		Expect(value(time.Minute)).To(Equal(usual))
	})

	It("stays high after one fast reply of a straggler", func() {
		// Guards against a straggler that gets its full load again after each fast reply.
		observe(slow, time.Second)
		observe(slow, 3*time.Second)
		observe(usual, 3100*time.Millisecond)
		Expect(value(3200 * time.Millisecond)).To(BeNumerically(">", slow/2))
		observe(slow, 4*time.Second)
		Expect(value(6 * time.Second)).To(BeNumerically(">", slow/2))
	})

	It("does not treat pauses that are far apart as lasting slowness", func() {
		// Guards against a server that counts as a straggler because it pauses regularly.
		for i := range 5 {
			at := time.Duration(i) * 10 * time.Second
			observe(usual, at)
			observe(slow, at+time.Second)
			Expect(value(at + 2*time.Second)).To(Equal(usual))
		}
	})

	It("ignores a request that is not overdue", func() {
		// Guards against an estimate that falls because a request was observed before its reply.
		estimator.ObserveOverdue(usual/2, usual, start)
		Expect(value(0)).To(Equal(usual))
	})
})

var _ = It("Restrict leaves the same candidates, and no more than allowed, to all daemons of a zone", func() {
	// Guards against two daemons that together send one request to more servers of a shard than its route allows.
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		cs := make([]routing.Candidate, rapid.IntRange(0, 6).Draw(t, "candidates"))
		for i := range cs {
			name := model.ServerName(fmt.Sprint("server-", i))
			cs[i] = routing.Candidate{
				Server:   &model.Server{ServerSpec: &model.ServerSpec{Name: name}},
				Locality: routing.Locality(rapid.IntRange(0, 2).Draw(t, "locality")), Usable: true,
			}
		}
		other := rapid.Permutation(cs).Draw(t, "order")
		for i := range other {
			// The other daemon has tried or ejected some of them.
			other[i].Usable = rapid.Bool().Draw(t, "usable")
		}
		n := rapid.IntRange(1, 3).Draw(t, "allowed")
		routing.Restrict(cs, "key", n)
		kept := map[model.ServerName]bool{}
		for _, c := range cs {
			if c.Usable {
				kept[c.Server.Name] = true
			}
		}
		if len(kept) != min(n, len(cs)) {
			t.Fatalf("%d of %d candidates kept, %d allowed", len(kept), len(cs), n)
		}
		routing.Restrict(other, "key", n)
		for _, c := range other {
			if c.Usable && !kept[c.Server.Name] {
				t.Fatalf("%s is kept by one daemon only", c.Server.Name)
			}
		}
	})
})
