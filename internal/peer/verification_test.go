package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/registry"
)

var _ = Describe("the verified age in a reply", func() {
	It("never appears lower than it is, however long the request, the peer or the reply takes", func() {
		// Guards against a follower that counts the reply of a paused source as fresh, or an era of the store as older than it is.
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
			at := verified.Add(offset)
			sentUpdate := registry.Update{VerifiedAt: at, EraKnownAt: at, Acknowledged: gossip.Acknowledgement{At: at}}
			reply.SetVerification(&sentUpdate, received.Add(offset), sent.Add(offset))
			end := next(sent, "end")
			u := reply.PeerUpdate(time.Now(), begin, end)
			if u.Acknowledged.At != u.VerifiedAt {
				t.Fatal("the acknowledged configurations have another age than the verified data")
			}
			if u.EraKnownAt < verified || u.EraKnownAt.Sub(verified) > end.Sub(sent) {
				t.Fatalf("the era appears to begin %s after it did; the reply took %s", u.EraKnownAt.Sub(verified), end.Sub(sent))
			}
			if u.VerifiedAt > verified {
				t.Fatalf("the data appears %s fresher than it is", u.VerifiedAt.Sub(verified))
			}
			if lost := verified.Sub(u.VerifiedAt); lost > received.Sub(begin) {
				t.Fatalf("the data appears %s older than it is, which is more than the request took", lost)
			}
		})
	})
})
