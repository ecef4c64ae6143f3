package contract

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/platform"
)

// InstanceListHarness is an instance list under test and the controls of its platform.
type InstanceListHarness struct {
	List platform.InstanceList
	// SetInstances replaces the instances of the list.
	SetInstances func([]platform.Instance)
	// SetFault replaces the active fault. Under PlatformStale the list is StaleBy old.
	SetFault func(PlatformFault)
	// Unanswered returns how many calls PlatformSilent has left unanswered so far.
	Unanswered func() int
	// Clock is the platform's clock.
	Clock *Clock
}

// InstanceList defines the specs of platform.InstanceList. open returns the harness of an empty list and registers its
// cleanup.
func InstanceList(open func() InstanceListHarness) {
	CheckGoroutineLeaks()
	var h InstanceListHarness
	ginkgo.BeforeEach(func() {
		h = open()
		h.SetInstances([]platform.Instance{
			{Name: "d1", Role: platform.RoleEntry, Zone: "z1", Address: "127.0.0.1:1", State: platform.InstanceLive},
			{Name: "d2", Role: platform.RoleEntry, Zone: "z2", Address: "127.0.0.1:2", State: platform.InstanceLeaving},
			{Name: "s1", Role: platform.RoleServer, Zone: "z1", Address: "127.0.0.1:3", State: platform.InstanceLive},
		})
	})

	ginkgo.DescribeTable("returns the instances that match the query",
		func(ctx ginkgo.SpecContext, q platform.InstanceQuery, want ...string) {
			list, err := h.List.Instances(ctx, q)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(names(list)).To(gomega.Equal(want))
		},
		ginkgo.Entry("all", platform.InstanceQuery{}, "d1", "d2", "s1"),
		ginkgo.Entry("by role", platform.InstanceQuery{Role: platform.RoleEntry}, "d1", "d2"),
		ginkgo.Entry("by zone", platform.InstanceQuery{Zone: "z1"}, "d1", "s1"),
		ginkgo.Entry("by state", platform.InstanceQuery{State: platform.InstanceLeaving}, "d2"),
		ginkgo.Entry("by all three", platform.InstanceQuery{
			Role: platform.RoleServer, Zone: "z1", State: platform.InstanceLive,
		}, "s1"),
	)

	ginkgo.It("returns an empty list without an error if no instance matches", func(ctx ginkgo.SpecContext) {
		list, err := h.List.Instances(ctx, platform.InstanceQuery{Zone: "z9"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list).To(gomega.BeEmpty())
	})

	ginkgo.It("may show an old list, and shows the current one once its delay has passed", func(ctx ginkgo.SpecContext) {
		h.Clock.Advance(StaleBy)
		h.SetInstances(nil)
		h.SetFault(PlatformStale)
		list, err := h.List.Instances(ctx, platform.InstanceQuery{})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list).To(gomega.HaveLen(3))
		h.Clock.Advance(StaleBy)
		list, err = h.List.Instances(ctx, platform.InstanceQuery{})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list).To(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("fails with ErrUnavailable, not with an empty list, which would mean that there are no instances",
		func(fault PlatformFault) {
			h.SetFault(fault)
			gomega.Expect(callUnderFault(fault, h.Unanswered, func(ctx context.Context) error {
				_, err := h.List.Instances(ctx, platform.InstanceQuery{})
				return err
			})).To(matchSentinel(platform.ErrUnavailable))
		},
		ginkgo.Entry("down", PlatformDown),
		ginkgo.Entry("refused", PlatformRefused),
		ginkgo.Entry("limited", PlatformLimited),
		ginkgo.Entry("silent", PlatformSilent),
	)
}

func names(list []platform.Instance) []string {
	var out []string
	for _, in := range list {
		out = append(out, in.Name)
	}
	return out
}
