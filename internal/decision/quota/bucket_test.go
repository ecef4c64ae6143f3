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

// whole is the share of a daemon that has granted a whole quota for some time.
func whole(age time.Duration) quota.Share { return quota.Share{{Weight: 1, Age: age}} }

// grant is a token that was taken and perhaps returned.
type grant struct {
	at       time.Time
	returned bool
}

var _ = Describe("Bucket", func() {
	It("grants at most the rate and the burst in any window, not counting returned tokens", func() {
		// Guards against callers that exceed their quota once their servers have failed for a while.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := model.Quota{Rate: 50, Burst: float64(rapid.IntRange(1, 100).Draw(t, "burst"))}
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
						b.Return(1, now.Sub(g.at), limit, whole(time.Hour), now)
					}
					continue
				}
				taken, _ := b.Take(n, limit, whole(time.Hour), now)
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
		limit := model.Quota{Rate: 1, Burst: 5}
		var b quota.Bucket
		taken, _ := b.Take(5, limit, whole(time.Hour), start)
		Expect(taken).To(Equal(5))
		now := start.Add(200 * time.Millisecond)
		b.Return(3, 200*time.Millisecond, limit, whole(time.Hour), now)
		taken, next := b.Take(5, limit, whole(time.Hour), now)
		Expect(taken).To(Equal(3))
		Expect(next).To(BeNumerically("~", 800*time.Millisecond, time.Millisecond))
	})

	It("starts empty at a daemon that has just taken over", func() {
		// Guards against a second burst after each change of the owner.
		var b quota.Bucket
		taken, _ := b.Take(100, model.Quota{Rate: 10, Burst: 50}, whole(time.Second), start)
		Expect(taken).To(Equal(10))
	})

	It("drops the tokens above a burst that was lowered", func() {
		// Guards against a limit that takes effect only once the old burst is used up.
		var b quota.Bucket
		high, low := model.Quota{Rate: 100, Burst: 50}, model.Quota{Rate: 10, Burst: 5}
		b.Take(0, high, whole(time.Hour), start)
		taken, _ := b.Take(50, low, whole(time.Hour), start.Add(time.Millisecond))
		Expect(taken).To(Equal(5))
	})

	It("adds nothing for the time in which the daemon did not grant a part of the quota", func() {
		// Guards against a part that both sides of a partition grant for the same time.
		limit := model.Quota{Rate: 100, Burst: 1000}
		var b quota.Bucket
		b.Take(1000, limit, whole(time.Hour), start)
		now := start.Add(2 * time.Second)
		taken, _ := b.Take(1000, limit, quota.Share{{Weight: 0.5, Age: time.Hour}, {Weight: 0.5, Age: time.Second}}, now)
		Expect(taken).To(Equal(150))
	})
})

var _ = Describe("Allowance", func() {
	DescribeTable("bounds the overdrafts of all regions, counted twice, by the slack",
		// Guards against agents that admit more than the quota's slack.
		func(slack float64, regions, want int) {
			Expect(quota.Allowance{Slack: slack}.Overdraft(regions)).To(Equal(want))
		},
		Entry("three regions", 20.0, 3, 3),
		Entry("more regions than the slack allows", 20.0, 11, 0),
		Entry("no slack", 0.0, 2, 0),
		Entry("no regions", 20.0, 0, 0),
	)
})
