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

// leaseCounter counts the leases that a store grants and keeps the last one.
type leaseCounter struct {
	platform.Store
	count int
	last  platform.LeaseID
}

func (c *leaseCounter) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	c.count++
	id, err := c.Store.Grant(ctx, ttl)
	c.last = id
	return id, err
}

// Guards against a claim that is removed while its key may still be decided on, which would let the request run again, and
// against a lease for each claim.
var _ = Describe("claims in the store", func() {
	It("are kept as long as their key may be decided on, expire with their lease, and cost two grants an hour", func() {
		ctx := context.Background()
		var count int
		var early, later error
		suite.InBubble(func() {
			store := &leaseCounter{Store: memplatform.New(nil)}
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

	It("are not written under a lease that the store lost, and attach to a new one", func() {
		ctx := context.Background()
		key := execute.ClaimKey{Service: "payouts", Key: "k"}
		var lost, read, again error
		suite.InBubble(func() {
			store := &leaseCounter{Store: memplatform.New(nil)}
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
