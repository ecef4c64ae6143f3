package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/gossip"
)

var _ = Describe("Freshness", func() {
	It("ends a watch, and the call that follows a late reply, within the propagation limit", func() {
		// Guards against waits that add up: data that is nearly old, a watch on a silent connection, and the call on a new one.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := time.Duration(rapid.Int64Range(int64(1500*time.Millisecond), int64(20*time.Second)).Draw(t, "limit"))
			f := gossip.NewFreshness(limit)
			age := time.Duration(rapid.Int64Range(0, int64(3*limit)).Draw(t, "age"))
			wait := f.WatchWait(rapid.Bool().Draw(t, "followed"), age)
			if wait < gossip.MinWatchWait || wait > f.MaxAge() {
				t.Fatalf("a watch waits for %s", wait)
			}
			if age <= f.MaxAge() && age+wait+f.LateWatchReply()+gossip.MinWatchWait > limit {
				t.Fatalf("data of age %s is confirmed after %s", age, age+wait+f.LateWatchReply())
			}
			if age > f.MaxAge() && wait != gossip.MinWatchWait {
				t.Fatalf("a watch with data of age %s waits for %s", age, wait)
			}
		})
	})

	It("ends a watch, or reads the store itself, before requests with keys are refused", func() {
		// Guards against a verified age that grows too high while watches return changes, so that the confirmed age is low.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := time.Duration(rapid.Int64Range(int64(time.Second), int64(6*time.Second)).Draw(t, "limit"))
			period := limit * time.Duration(rapid.IntRange(16, 100).Draw(t, "tenths")) / 10
			f := gossip.NewFreshness(limit).WithRevocation(period)
			age := time.Duration(rapid.Int64Range(0, int64(2*period)).Draw(t, "age"))
			wait := f.VerifyingWait(f.WatchWait(true, 0), age)
			if !f.Old(f.Age(0, age)) && !f.KeysVerified(age+wait+f.LateWatchReply()) {
				t.Fatalf("a watch waits for %s with data of the verified age %s", wait, age)
			}
			if !f.KeysVerified(age+gossip.MinWatchWait+f.LateWatchReply()) && !f.Old(f.Age(0, age)) {
				t.Fatalf("the store is not read at the verified age %s", age)
			}
		})
	})

	It("counts a watch as proof of its begin only, unless it returned no change after its wait", func() {
		// Guards against a reply that a paused daemon reads late and counts as fresh.
		const begin, end = boottime.Time(time.Second), boottime.Time(time.Minute)
		Expect(gossip.VerifiedByWatch(begin, end, time.Second, true)).To(Equal(begin.Add(time.Second)))
		Expect(gossip.VerifiedByWatch(begin, end, time.Second, false)).To(Equal(begin))
		Expect(gossip.VerifiedByWatch(begin, end, time.Hour, true)).To(Equal(begin))
	})

	It("tells a follower of a later verification only if it needs one", func() {
		// Guards against followers that learn too late of it, and against additional messages in other deployments.
		later, at := gossip.Position{VerifiedAt: boottime.Time(time.Minute)}, gossip.Position{VerifiedAt: 1}
		Expect(later.AheadOf(at)).To(BeFalse())
		at.NeedsVerification = true
		Expect(later.AheadOf(at)).To(BeTrue())
	})
})
