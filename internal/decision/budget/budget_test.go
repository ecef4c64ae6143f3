package budget_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestBudget(t *testing.T) { suite.Run(t, "./internal/decision/budget") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Window", func() {
	It("never allows more extras than the ratio of the sub-requests in a window that ends with an extra", func() {
		// Guards against bucket boundaries that let extras exceed the ratio, for any timing of requests and extras.
		const span, ratio = 10 * time.Second, 0.05
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := budget.NewWindow(ratio, 0, span, start)
			now := start
			var requestTimes, extraTimes []time.Time
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				for range rapid.IntRange(0, 40).Draw(t, "requests") {
					w.OnRequest(now)
					requestTimes = append(requestTimes, now)
				}
				if !w.Spend(1, now) {
					// Only windows that end with an extra are checked: a later window can hold fewer sub-requests if the load
					// falls, which no budget can prevent.
					continue
				}
				extraTimes = append(extraTimes, now)
				from := now.Add(-span)
				if n := countSince(extraTimes, from); float64(n) > ratio*float64(countSince(requestTimes, from)) {
					t.Fatalf("%d extras for %d sub-requests", n, countSince(requestTimes, from))
				}
			}
		})
	})
})

var _ = Describe("Window with a minimum number of extras", func() {
	It("allows a few extras even without requests", func() {
		// Guards against a service with little traffic whose requests are never retried although a server provably refused them.
		w := budget.NewWindow(0.1, 2, time.Second, start)
		Expect([]bool{w.Spend(1, start), w.Spend(1, start), w.Spend(1, start)}).To(Equal([]bool{true, true, false}))
		Expect(w.Spend(1, start.Add(2*time.Second))).To(BeTrue())
	})
})

var _ = Describe("FleetShare", func() {
	rule := budget.FleetRule{Ratio: 0.2, Slack: 56, Span: 10 * time.Second}

	It("keeps the extras of all daemons within the rule, however the requests are distributed", func() {
		// Guards against daemons that each spend the slack of the whole fleet, and against restarts that spend it again.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const daemons = 8
			fleet := make([]budget.FleetShare, daemons)
			for i := range fleet {
				fleet[i] = budget.NewFleetShare(rule, start)
			}
			now := start
			var requestTimes, extraTimes []time.Time
			for range rapid.IntRange(1, 600).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				if rapid.IntRange(0, 99).Draw(t, "restart") == 0 {
					fleet[i] = budget.NewFleetShare(rule, now)
				}
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					fleet[i].OnRequest(now)
					requestTimes = append(requestTimes, now)
				}
				for range rapid.IntRange(0, 20).Draw(t, "extras") {
					if fleet[i].Spend(1, daemons, now) {
						extraTimes = append(extraTimes, now)
					}
				}
				from := now.Add(-rule.Span)
				// The rule counts the requests of this window or the one before it, whichever has more.
				requests := max(countSince(requestTimes, from),
					countSince(requestTimes, from.Add(-rule.Span))-countSince(requestTimes, from))
				if n := countSince(extraTimes, from); float64(n) > rule.Ratio*float64(requests)+rule.Slack {
					t.Fatalf("%d extras for %d requests", n, requests)
				}
			}
		})
	})

	It("grants slack without any request to a daemon that has run for longer than the span", func() {
		// Guards against a service whose first seconds of traffic get no hedges.
		f := budget.NewFleetShare(rule, start.Add(-time.Minute))
		Expect(f.Spend(1, 8, start)).To(BeTrue())
	})
})

// countSince returns the number of times that are not before from.
func countSince(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) {
			n++
		}
	}
	return n
}

var _ = Describe("Quantile", func() {
	It("converges to the quantile of its samples", func() {
		// Guards against steps that drift away from the quantile or are too coarse for it.
		rnd := rand.New(rand.NewPCG(1, 2))
		var q budget.Quantile
		var samples []time.Duration
		for range 20_000 {
			d := time.Duration((5 + rnd.ExpFloat64()*5) * float64(time.Millisecond))
			samples = append(samples, d)
			q.Observe(d, 0.95)
		}
		slices.Sort(samples)
		Expect(q.Value()).To(BeNumerically("~", samples[len(samples)*95/100], 4*time.Millisecond))
	})
})
