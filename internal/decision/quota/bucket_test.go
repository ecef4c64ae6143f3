package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestQuota(t *testing.T) { suite.Run(t, "./internal/decision/quota") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// part returns the part of a daemon that has granted it for some time.
func part(rate, burst float64, age time.Duration) quota.Part {
	return quota.Part{Rate: rate, Burst: burst, Age: age}
}

// grant is a token that was taken and perhaps returned.
type grant struct {
	at       time.Time
	returned bool
}

var _ = Describe("Bucket", func() {
	It("grants at most the rate and the burst in any window, not counting returned tokens", func() {
		// Guards against callers that exceed their quota once their servers have failed for a while.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := part(50, float64(rapid.IntRange(1, 100).Draw(t, "burst")), time.Hour)
			var b quota.Bucket
			var grants []grant
			now := start
			for range 200 {
				now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "wait")) * time.Millisecond)
				n := rapid.IntRange(0, 20).Draw(t, "taken")
				if len(grants) > 0 && n > 15 {
					i := rapid.IntRange(max(0, len(grants)-100), len(grants)-1).Draw(t, "returned")
					if g := &grants[i]; !g.returned {
						g.returned = true
						b.Return(1, now.Sub(g.at), limit, now)
					}
					continue
				}
				taken, _ := b.Take(n, limit, now)
				for range taken {
					grants = append(grants, grant{at: now})
				}
			}
			for i := range grants {
				kept := 0
				for _, g := range grants[i:] {
					if g.at.Sub(grants[i].at) > 2*time.Second {
						break
					}
					if !g.returned {
						kept++
					}
				}
				if float64(kept) > limit.Rate*2+limit.Burst+1 {
					t.Fatalf("%d tokens granted in 2 s at %+v", kept, limit)
				}
			}
		})
	})

	It("grants a returned token again", func() {
		// Guards against requests that no server ran and that count against the quota.
		limit := part(1, 5, time.Hour)
		var b quota.Bucket
		taken, _ := b.Take(5, limit, start)
		Expect(taken).To(Equal(5))
		now := start.Add(200 * time.Millisecond)
		b.Return(3, 200*time.Millisecond, limit, now)
		taken, next := b.Take(5, limit, now)
		Expect(taken).To(Equal(3))
		Expect(next).To(BeNumerically("~", 800*time.Millisecond, time.Millisecond))
	})

	It("starts empty at a daemon that has just taken over", func() {
		// Guards against a second burst after each change of the owner.
		var b quota.Bucket
		taken, _ := b.Take(100, part(10, 50, time.Second), start)
		Expect(taken).To(Equal(10))
	})

	It("drops the tokens above a burst that was lowered", func() {
		// Guards against a limit that takes effect only once the old burst is used up.
		var b quota.Bucket
		b.Take(0, part(100, 50, time.Hour), start)
		taken, _ := b.Take(50, part(10, 5, time.Hour), start.Add(time.Millisecond))
		Expect(taken).To(Equal(5))
	})

	It("grants the tokens that an owner starts with, and no more", func() {
		// Guards against a daemon that refuses the first request after it has taken over, and against a burst at each change.
		var b quota.Bucket
		p := part(1, 50, 0)
		p.Start = 1
		taken, next := b.Take(5, p, start)
		Expect(taken).To(Equal(1))
		Expect(next).To(Equal(time.Second))
	})
})

var _ = Describe("Allowance", func() {
	It("divides what the quota permits among the zones, and serves its rate and its burst", func() {
		// Guards against zones that grant more together than the quota permits, and against refusals within the rate or the burst.
		a := quota.Allowance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := model.Quota{Rate: rapid.Float64Range(0.1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1000).Draw(t, "burst")}
			zones := rapid.IntRange(1, 10).Draw(t, "zones")
			p := a.ZonePart(q, zones, time.Hour)
			n := float64(zones)
			granted := n * (p.Burst + p.Rate*(a.Window+a.GrantValidity()).Seconds() + p.Start)
			if permitted := (q.Rate*5+q.Burst)*1.1 + 20; granted > permitted+1e-6 {
				t.Fatalf("%f granted, %f permitted", granted, permitted)
			}
			if n*p.Rate < q.Rate-1e-9 || n*p.Burst < q.Burst-1e-9 {
				t.Fatalf("%+v serves less than %+v", p, q)
			}
		})
	})
})
