package contract

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"oleandersill.example/oleandersill/internal/platform"
)

// during calls op under a fault and returns its error. A call that is never answered is given up once the platform holds
// it, so that the spec does not depend on time.
func during(fault PlatformFault, unanswered func() int, op func(context.Context) error) error {
	ginkgo.GinkgoHelper()
	if fault != PlatformSilent {
		return op(context.Background())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := unanswered()
	ended := make(chan error, 1)
	go func() { ended <- op(ctx) }()
	gomega.Eventually(unanswered).WithTimeout(settle).Should(gomega.BeNumerically(">", before))
	cancel()
	var err error
	gomega.Eventually(ended).WithTimeout(settle).Should(gomega.Receive(&err))
	return err
}

// mean matches an error by both the standard library's errors.Is and that of cockroachdb/errors, which differ in what
// they see and are both in use.
func mean(want error) types.GomegaMatcher {
	seen := func(err error) bool { return errors.Is(err, want) }
	return gomega.And(gomega.MatchError(want), gomega.WithTransform(seen, gomega.BeTrue()))
}

// storeFaults checks what an error says about the effect of a write, on which at-most-once execution rests.
func storeFaults(h *StoreHarness) {
	ginkgo.DescribeTable("tells what is known of a write under a fault",
		func(fault PlatformFault, want error, written bool) {
			put(h.Store, "k", "old", 0)
			h.SetFault(fault)
			gomega.Expect(during(fault, h.Unanswered, func(ctx context.Context) error {
				_, err := h.Store.Put(ctx, "k", []byte("new"), 1, "")
				return err
			})).To(mean(want))
			gomega.Expect(during(fault, h.Unanswered, func(ctx context.Context) error {
				_, err := h.Store.Grant(ctx, leaseTTL)
				return err
			})).To(mean(want))
			h.SetFault(PlatformHealthy)
			if written {
				expectValue(h.Store, "k", "new")
			} else {
				expectValue(h.Store, "k", "old")
			}
		},
		ginkgo.Entry("down: no effect", PlatformDown, platform.ErrUnavailable, false),
		ginkgo.Entry("refused: no effect", PlatformRefused, platform.ErrUnavailable, false),
		ginkgo.Entry("limited: no effect", PlatformLimited, platform.ErrUnavailable, false),
		ginkgo.Entry("silent: may have an effect", PlatformSilent, platform.ErrUnknown, false),
		ginkgo.Entry("reply lost: has its effect", PlatformLosesReplies, platform.ErrUnknown, true),
	)

	ginkgo.DescribeTable("fails reads as unavailable, never as not found",
		func(fault PlatformFault) {
			put(h.Store, "k", "old", 0)
			h.SetFault(fault)
			reads := []func(context.Context) error{
				func(ctx context.Context) error { _, err := h.Store.Get(ctx, "k"); return err },
				func(ctx context.Context) error { _, err := h.Store.List(ctx, "k"); return err },
				func(ctx context.Context) error { _, err := h.Store.Watch(ctx, "k", 0, settle); return err },
			}
			for _, read := range reads {
				err := during(fault, h.Unanswered, read)
				gomega.Expect(err).To(mean(platform.ErrUnavailable))
				gomega.Expect(err).NotTo(gomega.MatchError(platform.ErrNotFound))
			}
		},
		ginkgo.Entry("down", PlatformDown),
		ginkgo.Entry("refused", PlatformRefused),
		ginkgo.Entry("limited", PlatformLimited),
		ginkgo.Entry("silent", PlatformSilent),
	)

	ginkgo.It("ends a waiting watch when the store goes down, so that watchers notice the outage", func() {
		ended := make(chan error, 1)
		go func() {
			_, err := h.Store.Watch(context.Background(), "k", 0, settle)
			ended <- err
		}()
		h.SetFault(PlatformDown)
		gomega.Eventually(ended).WithTimeout(settle).Should(gomega.Receive(gomega.MatchError(platform.ErrUnavailable)))
	})

	ginkgo.It("may show an older value, but never accepts a write that expects it", func(ctx ginkgo.SpecContext) {
		put(h.Store, "k", "old", 0)
		h.Clock.Advance(StaleBy)
		put(h.Store, "k", "new", 1)
		h.SetFault(PlatformStale)
		expectValue(h.Store, "k", "old")
		_, err := h.Store.Put(ctx, "k", []byte("newer"), 1, "")
		gomega.Expect(err).To(gomega.MatchError(platform.ErrConflict))
		h.Clock.Advance(StaleBy)
		expectValue(h.Store, "k", "new")
	})
}
