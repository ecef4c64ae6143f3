package coldstart_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/coldstart"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestColdStart(t *testing.T) { suite.Run(t, "./internal/decision/coldstart") }

var _ = Describe("Limiter", func() {
	It("grants at most half of what the server may get in any second", func() {
		// Guards against two owners that together exceed what a cold server tolerates.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := coldstart.Allowance{
				Factor: rapid.Float64Range(0.1, 3).Draw(t, "factor"), Slack: rapid.Float64Range(0, 10).Draw(t, "slack"),
			}
			rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
			limit := (rate*a.Factor + a.Slack) / 2
			l := coldstart.New(a, rate)
			now := time.Unix(1, 0)
			var granted []time.Time
			for range rapid.IntRange(1, 300).Draw(t, "attempts") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
				if l.Take(model.Rank(rapid.IntRange(0, int(model.RankCount)-1).Draw(t, "rank")), now) {
					granted = append(granted, now)
				}
			}
			for i := range granted {
				n := 0
				for j := i; j < len(granted) && granted[j].Sub(granted[i]) <= time.Second; j++ {
					n++
				}
				if float64(n) > limit+1e-6 {
					t.Fatalf("%d tokens in a second, limit %f", n, limit)
				}
			}
		})
	})

	It("keeps the last third of the burst for urgent attempts", func() {
		// Guards against urgent requests that find no token because others took them all.
		l := coldstart.New(coldstart.Allowance{Factor: 1}, 24) // a burst of 3 tokens
		now := time.Unix(1, 0)
		l.Take(model.RankDeferred, now)
		now = now.Add(time.Minute)
		others := 0
		for l.Take(model.RankDeferred, now) {
			others++
		}
		Expect(others).To(Equal(2))
		Expect(l.Take(model.RankUrgent, now)).To(BeTrue())
		Expect(l.Take(model.RankUrgent, now)).To(BeFalse())
	})

	It("grants tokens to all ranks if its burst is a single one", func() {
		// Guards against requests that a slow server never gets because nothing is left beside the reserved part.
		l := coldstart.New(coldstart.Allowance{Factor: 1}, 2)
		now := time.Unix(1, 0)
		Expect(l.Take(model.RankDeferred, now)).To(BeTrue())
		Expect(l.Take(model.RankDeferred, now.Add(2*time.Second))).To(BeTrue())
	})
})
