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
	It("never allows more extras than the ratio of the sub-requests of the window that ends with them", func() {
		const span, ratio = 10 * time.Second, 0.05
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := budget.NewWindow(ratio, 0, span, start)
			now := start
			var base, extra []time.Time
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				for range rapid.IntRange(0, 40).Draw(t, "requests") {
					w.OnRequest(now)
					base = append(base, now)
				}
				if !w.Spend(1, now) {
					// A window that ends later can hold fewer sub-requests when the load falls; no budget can foresee that.
					continue
				}
				extra = append(extra, now)
				from := now.Add(-span)
				if n := since(extra, from); float64(n) > ratio*float64(since(base, from)) {
					t.Fatalf("%d extras for %d sub-requests", n, since(base, from))
				}
			}
		})
	})
})

var _ = Describe("a floor", func() {
	It("allows a few extras without traffic that would pay for them", func() {
		// Guards against a service with little traffic whose proven refusals are never tried elsewhere.
		w := budget.NewWindow(0.1, 2, time.Second, start)
		Expect([]bool{w.Spend(1, start), w.Spend(1, start), w.Spend(1, start)}).To(Equal([]bool{true, true, false}))
		Expect(w.Spend(1, start.Add(2*time.Second))).To(BeTrue())
	})
})

var _ = Describe("Fleet", func() {
	rule := budget.FleetRule{Ratio: 0.2, Slack: 56, Span: 10 * time.Second}

	It("keeps the extras of all daemons within the rule, whatever part of the requests each one gets", func() {
		// Guards against daemons that each spend the fleet's slack, and against restarts that spend it again.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const daemons = 8
			fleet := make([]budget.FleetShare, daemons)
			for i := range fleet {
				fleet[i] = budget.NewFleetShare(rule, start)
			}
			now := start
			var base, extra []time.Time
			for range rapid.IntRange(1, 600).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				if rapid.IntRange(0, 99).Draw(t, "restart") == 0 {
					fleet[i] = budget.NewFleetShare(rule, now)
				}
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					fleet[i].OnRequest(now)
					base = append(base, now)
				}
				for range rapid.IntRange(0, 20).Draw(t, "extras") {
					if fleet[i].Spend(1, daemons, now) {
						extra = append(extra, now)
					}
				}
				from := now.Add(-rule.Span)
				// The rule counts the requests of this window or the one before it, whichever has more.
				requests := max(since(base, from), since(base, from.Add(-rule.Span))-since(base, from))
				if n := since(extra, from); float64(n) > rule.Ratio*float64(requests)+rule.Slack {
					t.Fatalf("%d extras for %d requests", n, requests)
				}
			}
		})
	})

	It("has the slack of a daemon that is old enough without any request", func() {
		// Guards against the first seconds of traffic without hedges.
		f := budget.NewFleetShare(rule, start.Add(-time.Minute))
		Expect(f.Spend(1, 8, start)).To(BeTrue())
	})
})

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) {
			n++
		}
	}
	return n
}

var _ = Describe("Quantile", func() {
	It("approaches the quantile of its samples", func() {
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
