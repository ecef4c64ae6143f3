package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/peer"
)

var _ = Describe("the verified age in a reply", func() {
	It("never appears lower than it is, however long the request, the peer or the reply takes", func() {
		// Guards against a follower that counts the reply of a paused source as fresh.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			next := func(after boottime.Time, what string) boottime.Time {
				return after.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, what)))
			}
			verified := next(1, "verified")
			begin := next(1, "begin")
			received := next(begin, "received")
			sent := next(max(received, verified), "sent")
			// The clocks of the two machines differ by the offset.
			offset := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
			var reply peer.RegistryReply
			reply.SetVerification(verified.Add(offset), received.Add(offset), sent.Add(offset))
			u := reply.PeerUpdate(time.Now(), begin)
			if u.VerifiedAt > verified {
				t.Fatalf("the data appears %s fresher than it is", u.VerifiedAt.Sub(verified))
			}
			if lost := verified.Sub(u.VerifiedAt); lost > received.Sub(begin) {
				t.Fatalf("the data appears %s older than it is, which is more than the request took", lost)
			}
		})
	})
})
