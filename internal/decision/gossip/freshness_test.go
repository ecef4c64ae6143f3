package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

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
})
