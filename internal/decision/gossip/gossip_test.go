package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestGossip(t *testing.T) { suite.Run(t, "./internal/decision/gossip") }

var start = time.Unix(1_800_000_000, 0)

func offers() *rapid.Generator[model.Offer] {
	return rapid.Custom(func(t *rapid.T) model.Offer {
		return model.Offer{
			Revision: model.Revision(rapid.Uint64Range(0, 4).Draw(t, "revision")),
			Root:     model.RootHash(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "root")),
		}
	})
}

func fleets() *rapid.Generator[[]gossip.KnownMember] {
	return rapid.Custom(func(t *rapid.T) []gossip.KnownMember {
		n := rapid.IntRange(0, 200).Draw(t, "members")
		out := make([]gossip.KnownMember, n)
		for i := range out {
			zone := rapid.SampledFrom([]model.AvailabilityZone{"a", "b"}).Draw(t, "zone")
			silence := time.Duration(rapid.IntRange(0, 20).Draw(t, "silence")) * time.Second
			out[i] = gossip.KnownMember{
				Member:   model.Member{Instance: model.InstanceID(fmt.Sprintf("i%d", i)), Zone: zone, Address: "x"},
				LastSeen: start.Add(-silence),
			}
		}
		return out
	})
}

var self = model.Member{Instance: "self", Zone: "a"}

// Guards guarantee G8, no return to an older configuration revision, against any sequence of offers. Offers from stale
// replicas of the store, from outdated peers and after a healed network partition are all of this kind.
func TestNothingReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var inForce model.Offer
		for _, o := range rapid.SliceOf(offers()).Draw(t, "offers") {
			before := inForce
			if gossip.CompareOffer(inForce, o) == gossip.Accept {
				inForce = o
			}
			if inForce != before && inForce.Revision <= before.Revision {
				t.Fatalf("configuration in force changed from %v to %v", before, inForce)
			}
		}
	})
}

// Guards against two daemons that keep exchanging different roots of the same revision.
func TestRootsOfOneRevisionAreNotSwapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := offers().Draw(t, "a"), offers().Draw(t, "b")
		b.Revision = a.Revision
		if gossip.CompareOffer(a, b) == gossip.Accept || gossip.CompareOffer(b, a) == gossip.Accept {
			t.Fatalf("%v and %v replace each other", a, b)
		}
	})
}

// Guards against a zone without a relay, and against members that are dead or of another zone and still keep a live daemon
// from becoming a relay.
func TestEveryViewHasARelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := fleets().Draw(t, "known")
		relays := 0
		var alive []gossip.KnownMember
		for _, k := range known {
			if k.Zone == self.Zone && k.Liveness(start) == gossip.Alive {
				alive = append(alive, k)
			}
		}
		all := append([]gossip.KnownMember{{Member: self, LastSeen: start}}, alive...)
		for i, k := range all {
			others := append(append([]gossip.KnownMember{}, all[:i]...), all[i+1:]...)
			if gossip.IsRelay(k.Member, others, start) {
				relays++
			}
		}
		if relays != min(gossip.RelaysPerZone, len(all)) {
			t.Fatalf("%d relays among %d members with one view", relays, len(all))
		}
		if gossip.IsRelay(self, known, start) != gossip.IsRelay(self, alive, start) {
			t.Fatalf("dead members or those of other zones count in the election of relays")
		}
	})
}

// Guards against notices to the same peer twice or to too many peers, against digests that contain dead members, duplicates
// or too many entries, and against known members without an exchange.
func TestTargetsAndEntriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := fleets().Draw(t, "known")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		inside, outside := 0, 0
		seen := map[model.InstanceID]bool{}
		for _, m := range gossip.NoticeTargets(self, known, start, rnd) {
			if seen[m.Instance] {
				t.Fatalf("%s is notified twice", m.Instance)
			}
			seen[m.Instance] = true
			if m.Zone == self.Zone {
				inside++
			} else {
				outside++
			}
		}
		if inside > gossip.NoticesInZone || outside > gossip.NoticesOutsideZone {
			t.Fatalf("%d notices inside, %d outside", inside, outside)
		}
		entries := gossip.DigestEntries(self, known, start, rnd)
		if 2*len(entries) > gossip.MaxExchangeEntries {
			t.Fatalf("%d entries in one direction", len(entries))
		}
		named := map[model.InstanceID]bool{}
		for _, e := range entries {
			if named[e.Instance] || e.Silence >= gossip.DeadAfter {
				t.Fatalf("entry %+v is a duplicate or dead", e)
			}
			named[e.Instance] = true
		}
		if _, ok := gossip.ExchangePeer(self, known, start, rnd); ok != (len(known) > 0) {
			t.Fatalf("exchange peer found: %t among %d members", ok, len(known))
		}
	})
}

// Guards against daemons that extend a leaving mark indefinitely by sending it back and forth.
func TestLeavingMarksExpireWithoutNewSigns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		until := [2]time.Time{start.Add(gossip.LeavingMarkTTL), start.Add(gossip.LeavingMarkTTL)}
		now := start
		for range 100 {
			transit := time.Duration(rapid.IntRange(0, 2000).Draw(t, "transit")) * time.Millisecond
			from := rapid.IntRange(0, 1).Draw(t, "from")
			if hold := until[from].Sub(now); hold > 0 {
				until[1-from] = gossip.ExtendLeavingMark(until[1-from], now.Add(transit), hold)
			}
			now = now.Add(time.Second)
		}
		if until[0].After(now) || until[1].After(now) {
			t.Fatalf("the mark is still set after 100 s, until %v and %v after the start", until[0].Sub(start), until[1].Sub(start))
		}
	})
}

var _ = Describe("liveness", func() {
	// Guards against dead members that get notices and digests, and against live members that count as dead too soon.
	DescribeTable("depends on the time since the member was last seen",
		func(silence time.Duration, want gossip.Liveness) {
			k := gossip.KnownMember{LastSeen: start}
			Expect(k.Liveness(start.Add(silence))).To(Equal(want))
		},
		Entry("just below 5 s", 4999*time.Millisecond, gossip.Alive),
		Entry("5 s", 5*time.Second, gossip.Suspected),
		Entry("just below 15 s", 14999*time.Millisecond, gossip.Suspected),
		Entry("15 s", 15*time.Second, gossip.Dead),
	)
})

var _ = Describe("reads of the store by daemons that are not relays", func() {
	reads := func(silence time.Duration) int {
		rnd := rand.New(rand.NewPCG(1, 1))
		n := 0
		for range 6000 {
			if gossip.ShouldReadStore(start, start.Add(silence), rnd) {
				n++
			}
		}
		return n
	}

	// Guards against a fleet that misses changes because only its relays cannot reach the store, and against an excessive
	// rate of such reads.
	It("begin after a minute without contact, at a mean rate of one per minute", func() {
		Expect(reads(time.Minute)).To(BeZero())
		Expect(reads(time.Minute + time.Second)).To(BeNumerically("~", 100, 50))
	})
})

var _ = Describe("backoff", func() {
	// Guards against a shift that overflows after a long outage, and a delay that breaks the propagation target.
	It("stays between 0 and 4 s at any number of failures", func() {
		rnd := rand.New(rand.NewPCG(1, 1))
		for failures := range 200 {
			Expect(gossip.Backoff(failures, rnd)).To(And(BeNumerically(">=", 0), BeNumerically("<", 4*time.Second)))
		}
	})
})
