package gossip_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
)

var sourceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetOf returns the given number of daemons, distributed over the zones in turn.
func fleetOf(daemons, zones int) []model.Member {
	var out []model.Member
	for i := range daemons {
		out = append(out, model.Member{
			Instance: model.InstanceID(fmt.Sprintf("d%d", i)), Address: fmt.Sprintf("10.0.0.%d:1", i),
			Zone: model.AvailabilityZone(fmt.Sprintf("z%d", i%zones)),
		})
	}
	return out
}

// hops returns the number of daemons between m and the store.
func hops(m model.Member, fleet []model.Member) int {
	for n := 0; ; n++ {
		source, ok := gossip.NewSourceSelector(m).Pick(fleet, sourceStart)
		if !ok || n > len(fleet) {
			return n
		}
		m = source
	}
}

var _ = Describe("Position", func() {
	DescribeTable("is ahead by its era, then by its revision, then by its age",
		func(p, other gossip.Position, want bool) {
			// Guards against a daemon that takes the higher revision of the era before for newer content.
			Expect(p.AheadOf(other)).To(Equal(want))
		},
		Entry("a later era, a lower revision", gossip.Position{Era: 2, Revision: 4}, gossip.Position{Era: 1, Revision: 9}, true),
		Entry("an earlier era, a higher revision", gossip.Position{Era: 1, Revision: 9}, gossip.Position{Era: 2, Revision: 4}, false),
		Entry("an earlier era, confirmed later", gossip.Position{Era: 1, ConfirmedAt: sourceStart}, gossip.Position{Era: 2}, false),
		Entry("the same era, a higher revision", gossip.Position{Era: 2, Revision: 9}, gossip.Position{Era: 2, Revision: 4}, true),
		Entry("the same point, confirmed later", gossip.Position{Era: 2, ConfirmedAt: sourceStart}, gossip.Position{Era: 2}, true),
	)
})

var _ = Describe("SourceSelector", func() {
	It("lets one daemon of a fleet read the store, with all others at most two hops away", func() {
		// Guards against a number of calls to the store that grows with the fleet.
		for _, size := range []int{1, 2, 8, 89} {
			fleet := fleetOf(size, 6)
			readers := 0
			for _, m := range fleet {
				if hops(m, fleet) == 0 {
					readers++
				}
				Expect(hops(m, fleet)).To(BeNumerically("<=", 2))
			}
			Expect(readers).To(Equal(1))
		}
	})

	It("selects the next daemon of the zone when the selected one does not answer, and the store when none does", func() {
		// Guards against a daemon that gets no changes while another daemon or the store still answers.
		fleet := fleetOf(6, 1)
		for _, self := range fleet {
			s := gossip.NewSourceSelector(self)
			for range fleet {
				source, ok := s.Pick(fleet, sourceStart)
				if !ok {
					break
				}
				s.Exclude(source.Instance, gossip.SourceUnresponsive, sourceStart)
			}
			_, ok := s.Pick(fleet, sourceStart)
			Expect(ok).To(BeFalse())
		}
	})

	It("selects a stale daemon again sooner than one that did not answer", func() {
		// Guards against a daemon that is not followed for as long as a stopped one because its data was stale for a moment.
		fleet := fleetOf(2, 1)
		for _, fault := range []gossip.SourceFault{gossip.SourceStale, gossip.SourceUnresponsive} {
			followers := 0
			for _, self := range fleet {
				s := gossip.NewSourceSelector(self)
				if source, ok := s.Pick(fleet, sourceStart); ok {
					s.Exclude(source.Instance, fault, sourceStart)
					if _, again := s.Pick(fleet, sourceStart.Add(10*time.Second)); again {
						followers++
					}
				}
			}
			Expect(followers == 1).To(Equal(fault == gossip.SourceStale))
		}
	})

	It("reads the store if self has no address at which others could follow it", func() {
		// Guards against a daemon without a peer address that follows other daemons.
		_, ok := gossip.NewSourceSelector(model.Member{Instance: "x", Zone: "z0"}).Pick(fleetOf(4, 1), sourceStart)
		Expect(ok).To(BeFalse())
	})

	It("never selects a daemon that supports a lower protocol version", func() {
		// Guards against a daemon that gets a configuration without workspaces from an earlier version.
		fleet := fleetOf(8, 2)
		for _, self := range fleet {
			self.Protocol = model.ProtocolWorkspaces
			_, ok := gossip.NewSourceSelector(self).Pick(fleet, sourceStart)
			Expect(ok).To(BeFalse())
		}
	})

	It("never creates a cycle of daemons that follow each other, whatever each knows of the fleet", func() {
		// Guards against daemons that pass stale data to each other while none of them reads the store.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fleet := fleetOf(rapid.IntRange(1, 12).Draw(t, "daemons"), rapid.IntRange(1, 3).Draw(t, "zones"))
			follows := map[model.InstanceID]model.InstanceID{}
			for _, self := range fleet {
				var known []model.Member
				s := gossip.NewSourceSelector(self)
				for _, m := range fleet {
					if rapid.Bool().Draw(t, "known") {
						known = append(known, m)
					}
					if rapid.Bool().Draw(t, "failed") {
						s.Exclude(m.Instance, gossip.SourceUnresponsive, sourceStart)
					}
				}
				if source, ok := s.Pick(known, sourceStart); ok {
					follows[self.Instance] = source.Instance
				}
			}
			for _, self := range fleet {
				at, steps := self.Instance, 0
				for follows[at] != "" {
					at = follows[at]
					if steps++; steps > len(fleet) {
						t.Fatalf("daemons follow each other: %v", follows)
					}
				}
			}
		})
	})
})
