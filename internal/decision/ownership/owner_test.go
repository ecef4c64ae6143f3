package ownership_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestOwnership(t *testing.T) { suite.Run(t, "./internal/decision/ownership") }

func members(n int) []model.Member {
	out := make([]model.Member, n)
	for i := range out {
		out[i].Instance = model.InstanceID(fmt.Sprintf("entry-%03d", i))
	}
	return out
}

var _ = Describe("Owner", func() {
	const servers = 3650

	It("distributes the servers of a zone evenly over its daemons", func() {
		// Guards against a daemon that owns three times the mean number of servers.
		all := members(280)
		counts := make([]int, len(all))
		for s := range servers {
			counts[ownership.Owner(model.ServerName(fmt.Sprint("server-", s)), all)]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 3*servers/len(all)))
		}
	})

	It("changes the owner only of the servers of a daemon that leaves", func() {
		// Guards against changed connections in the whole fleet when a single instance is replaced.
		before := members(8)
		after := append(append([]model.Member{}, before[:3]...), before[4:]...)
		for s := range servers {
			name := model.ServerName(fmt.Sprint("server-", s))
			owner := before[ownership.Owner(name, before)].Instance
			if owner != before[3].Instance {
				Expect(after[ownership.Owner(name, after)].Instance).To(Equal(owner))
			}
		}
	})

	It("returns -1 without members", func() {
		// Guards against an index out of range in a zone without daemons.
		Expect(ownership.Owner("server", nil)).To(Equal(-1))
	})
})

// zoneMembers draws the members of a zone, with capacities that differ up to eightfold.
func zoneMembers(t *rapid.T) []model.Member {
	all := members(rapid.IntRange(0, 40).Draw(t, "members"))
	for i := range all {
		all[i].Capacity = rapid.SampledFrom([]float64{0.1, 0.2, 0.4, 0.8}).Draw(t, "capacity")
	}
	return all
}

func capacity(ms []model.Member) float64 {
	sum := 0.0
	for i := range ms {
		sum += ms[i].Capacity
	}
	return sum
}

var _ = Describe("Preferred", func() {
	It("returns the strongest members of a zone, with a quarter of its capacity, and at least three", func() {
		// Guards against gathering on weak members, and against too few members for the zone's load or for the loss of one.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := zoneMembers(t)
			preferred := ownership.Preferred(all)
			if len(preferred) < min(3, len(all)) || capacity(preferred) < 0.25*capacity(all)-1e-9 {
				t.Fatalf("%d of %d members with %f of %f cores", len(preferred), len(all), capacity(preferred), capacity(all))
			}
			if !slices.IsSortedFunc(preferred, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) }) {
				t.Fatalf("not sorted: %v", preferred)
			}
			for _, m := range all {
				if slices.Contains(preferred, m) {
					continue
				}
				for _, p := range preferred {
					if p.Capacity < m.Capacity {
						t.Fatalf("%v is preferred to %v", p, m)
					}
				}
			}
		})
	})

	It("keeps the other preferred members when one of them leaves", func() {
		// Guards against cold connections in the whole zone when one instance is replaced.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := zoneMembers(t)
			before := ownership.Preferred(all)
			if len(before) == 0 {
				return
			}
			left := before[rapid.IntRange(0, len(before)-1).Draw(t, "left")]
			rest := slices.DeleteFunc(slices.Clone(all), func(m model.Member) bool { return m == left })
			after := ownership.Preferred(rest)
			for _, m := range before {
				if m != left && !slices.Contains(after, m) {
					t.Fatalf("%v is not preferred any longer", m)
				}
			}
		})
	})

	It("treats members that state no capacity as ordinary ones", func() {
		// Guards against a fleet of two versions in which all work goes to one of them.
		all := members(12)
		for i := range 6 {
			all[i].Capacity = 0.4
		}
		Expect(ownership.Preferred(all)).To(HaveLen(3))
		Expect(ownership.Preferred(members(12))).To(HaveLen(3))
	})
})

var _ = Describe("Delegate", func() {
	zone := members(10)
	for i := range zone {
		zone[i].Capacity = 0.2
	}
	strong := []int{2, 5, 7}
	for _, i := range strong {
		zone[i].Capacity = 0.8
	}
	preferred := ownership.Preferred(zone)

	It("distributes the requests of a weak member over the strong ones", func() {
		// Guards against one strong member that gets the requests of all others.
		counts := map[model.InstanceID]int{}
		for i := range 3000 {
			m, ok := ownership.Delegate(fmt.Sprint(i), &zone[0], preferred)
			Expect(ok).To(BeTrue())
			counts[m.Instance]++
		}
		Expect(counts).To(HaveLen(len(strong)))
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 1000, 200))
		}
	})

	DescribeTable("leaves a request with a member",
		// Guards against a message that costs more than it saves.
		func(self model.Member, preferred []model.Member) {
			_, ok := ownership.Delegate("r", &self, preferred)
			Expect(ok).To(BeFalse())
		},
		Entry("that is preferred itself", zone[2], preferred),
		Entry("whose capacity is not much smaller", model.Member{Instance: "x", Capacity: 0.5}, preferred),
		Entry("that states no capacity", model.Member{Instance: "x"}, preferred),
		Entry("alone in its zone", zone[0], []model.Member{}),
		Entry("among members of another version, which state none", zone[0], members(3)),
	)
})

var _ = DescribeTable("members that may receive a request",
	// Guards against a request that is handed to a daemon outside its home regions, or to one that ignores its workspace.
	func(p *model.RequestPolicy, want ...model.InstanceID) {
		zone := []model.Member{{Instance: "old"}, {Instance: "new", Protocol: model.ProtocolWorkspaces}}
		var got []model.InstanceID
		for _, m := range ownership.RequirementsOf(p).Eligible(zone, "r1") {
			got = append(got, m.Instance)
		}
		Expect(slices.Equal(got, want)).To(BeTrue(), "%v", got)
	},
	Entry("without a route", nil, model.InstanceID("old"), model.InstanceID("new")),
	Entry("that needs no key", &model.RequestPolicy{}, model.InstanceID("old"), model.InstanceID("new")),
	Entry("of a workspace", &model.RequestPolicy{Workspace: "a"}, model.InstanceID("new")),
	Entry("at home", &model.RequestPolicy{Regions: model.Regions{"r2", "r1"}}, model.InstanceID("new")),
	Entry("with other home regions", &model.RequestPolicy{Regions: model.Regions{"r2"}}),
	Entry("without any home region", &model.RequestPolicy{Workspace: "a", Regions: model.Regions{}}),
)
