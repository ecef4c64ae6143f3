package contract

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"oleandersill.example/oleandersill/internal/platform"
)

// callUnderFault calls op while a fault is active and returns its error. Under PlatformSilent it cancels the call as soon as
// the platform has received it, so that the spec does not depend on time.
func callUnderFault(fault PlatformFault, unanswered func() int, op func(context.Context) error) error {
	ginkgo.GinkgoHelper()
	if fault != PlatformSilent {
		return op(context.Background())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := unanswered()
	errs := make(chan error, 1)
	go func() { errs <- op(ctx) }()
	gomega.Eventually(unanswered).WithTimeout(waitTimeout).Should(gomega.BeNumerically(">", before))
	cancel()
	var err error
	gomega.Eventually(errs).WithTimeout(waitTimeout).Should(gomega.Receive(&err))
	return err
}

// matchSentinel matches an error that wraps want according to errors.Is of both the standard library and cockroachdb/errors.
// The two can differ in their result, and the code uses both.
func matchSentinel(want error) types.GomegaMatcher {
	matches := func(err error) bool { return errors.Is(err, want) }
	return gomega.And(gomega.MatchError(want), gomega.WithTransform(matches, gomega.BeTrue()))
}

// storeFaults checks what an error says about the effect of a write, on which at-most-once execution depends.
func storeFaults(h *StoreHarness) {
	ginkgo.DescribeTable("states what is known about the effect of a write under a fault",
		func(fault PlatformFault, want error, written bool) {
			put(h.Store, "k", "old", 0)
			h.SetFault(fault)
			gomega.Expect(callUnderFault(fault, h.Unanswered, func(ctx context.Context) error {
				_, err := h.Store.Put(ctx, "k", []byte("new"), 1, "")
				return err
			})).To(matchSentinel(want))
			gomega.Expect(callUnderFault(fault, h.Unanswered, func(ctx context.Context) error {
				_, err := h.Store.Grant(ctx, leaseTTL)
				return err
			})).To(matchSentinel(want))
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
		ginkgo.Entry("reply lost: has an effect", PlatformLosesReplies, platform.ErrUnknown, true),
	)

	ginkgo.DescribeTable("fails reads with ErrUnavailable, never with ErrNotFound",
		func(fault PlatformFault) {
			put(h.Store, "k", "old", 0)
			h.SetFault(fault)
			reads := []func(context.Context) error{
				func(ctx context.Context) error { _, err := h.Store.Get(ctx, "k"); return err },
				func(ctx context.Context) error { _, err := h.Store.List(ctx, "k"); return err },
				func(ctx context.Context) error { _, err := h.Store.Watch(ctx, "k", 0, waitTimeout); return err },
			}
			for _, read := range reads {
				err := callUnderFault(fault, h.Unanswered, read)
				gomega.Expect(err).To(matchSentinel(platform.ErrUnavailable))
				gomega.Expect(err).NotTo(gomega.MatchError(platform.ErrNotFound))
			}
		},
		ginkgo.Entry("down", PlatformDown),
		ginkgo.Entry("refused", PlatformRefused),
		ginkgo.Entry("limited", PlatformLimited),
		ginkgo.Entry("silent", PlatformSilent),
	)

	ginkgo.It("ends a watch when the store goes down, so that watchers detect the outage", func() {
		errs := make(chan error, 1)
		go func() {
			_, err := h.Store.Watch(context.Background(), "k", 0, waitTimeout)
			errs <- err
		}()
		h.SetFault(PlatformDown)
		gomega.Eventually(errs).WithTimeout(waitTimeout).Should(gomega.Receive(gomega.MatchError(platform.ErrUnavailable)))
	})

	ginkgo.It("may return an older value, but never accepts a write that expects its version", func(ctx ginkgo.SpecContext) {
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
