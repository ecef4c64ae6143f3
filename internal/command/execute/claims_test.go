package execute_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

// grants counts the leases and can end the last one.
type grants struct {
	platform.Store
	count int
	last  platform.LeaseID
}

func (g *grants) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	g.count++
	id, err := g.Store.Grant(ctx, ttl)
	g.last = id
	return id, err
}

var _ = Describe("claims in the store", func() {
	It("stay for as long as their key is decided on, go with their lease, and cost two grants an hour", func() {
		ctx := context.Background()
		var count int
		var early, later error
		suite.InBubble(func() {
			store := &grants{Store: memplatform.New(nil)}
			claims := &execute.PlatformClaimStore{Store: store}
			var newest execute.ClaimKey
			for range 10 * 60 {
				newest = execute.ClaimKey{Service: "payouts", Key: keyAt(time.Now())}
				_, err := claims.Write(ctx, newest, claim.Record{State: claim.StateClaimed}, 0)
				if err != nil {
					early = err
					return
				}
				time.Sleep(time.Minute)
			}
			count = store.count
			time.Sleep(claim.RecordRetention - time.Minute)
			_, _, early = claims.Read(ctx, newest)
			time.Sleep(time.Hour + time.Minute)
			_, _, later = claims.Read(ctx, newest)
		})
		Expect(early).NotTo(HaveOccurred())
		Expect(later).To(MatchError(platform.ErrNotFound))
		Expect(count).To(BeNumerically("<=", 21))
	})

	It("write nothing under a lease that the store lost, and take a new one", func() {
		ctx := context.Background()
		key := execute.ClaimKey{Service: "payouts", Key: "k"}
		var lost, read, again error
		suite.InBubble(func() {
			store := &grants{Store: memplatform.New(nil)}
			claims := &execute.PlatformClaimStore{Store: store}
			_, _ = claims.Write(ctx, execute.ClaimKey{Service: "payouts", Key: "other"}, claim.Record{}, 0)
			_ = store.Revoke(ctx, store.last)
			_, lost = claims.Write(ctx, key, claim.Record{}, 0)
			_, _, read = claims.Read(ctx, key)
			_, again = claims.Write(ctx, key, claim.Record{}, 0)
		})
		Expect(lost).To(MatchError(platform.ErrUnavailable))
		Expect(read).To(MatchError(platform.ErrNotFound))
		Expect(again).NotTo(HaveOccurred())
	})
})
