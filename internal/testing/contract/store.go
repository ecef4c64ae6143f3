package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"oleandersill.example/oleandersill/internal/platform"
)

const leaseTTL = 10 * time.Second

// PlatformFault is a fault that a platform's harness can set.
type PlatformFault string

// The faults of the suites. An implementation without a wire may treat PlatformRefused and PlatformLimited as
// PlatformDown.
const (
	// PlatformHealthy clears the fault.
	PlatformHealthy PlatformFault = "healthy"
	// PlatformDown answers that nothing was done.
	PlatformDown PlatformFault = "down"
	// PlatformRefused refuses connections.
	PlatformRefused PlatformFault = "refused"
	// PlatformLimited refuses calls above a rate, which every call exceeds.
	PlatformLimited PlatformFault = "limited"
	// PlatformSilent never answers.
	PlatformSilent PlatformFault = "silent"
	// PlatformLosesReplies lets writes take effect and loses their replies.
	PlatformLosesReplies PlatformFault = "loses replies"
	// PlatformStale shows values and lists that are StaleBy old.
	PlatformStale PlatformFault = "stale"
)

// StaleBy is the age of what PlatformStale shows.
const StaleBy = time.Minute

// StoreHarness is a store under test.
type StoreHarness struct {
	Store platform.Store
	// SetFault replaces the fault in force.
	SetFault func(PlatformFault)
	// Unanswered returns how many calls PlatformSilent has left unanswered so far.
	Unanswered func() int
	// Clock is the platform's clock.
	Clock *Clock
}

// Store describes platform.Store. open returns an empty store and registers its cleanup.
func Store(open func() StoreHarness) {
	CheckGoroutineLeaks()
	var h StoreHarness
	ginkgo.BeforeEach(func() { h = open() })
	storeWrites(&h)
	storeReads(&h)
	storeLeases(&h)
	storeFaults(&h)
}

func put(s platform.Store, key, value string, expect platform.Version) platform.Version {
	ginkgo.GinkgoHelper()
	v, err := s.Put(context.Background(), key, []byte(value), expect, "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return v
}

func expectValue(s platform.Store, key, value string) {
	ginkgo.GinkgoHelper()
	e, err := s.Get(context.Background(), key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(e.Value)).To(gomega.Equal(value))
}

func storeWrites(h *StoreHarness) {
	ginkgo.DescribeTable("replaces a value only at the expected version",
		func(ctx ginkgo.SpecContext, writes int, expect platform.Version, want types.GomegaMatcher) {
			for i := range writes {
				put(h.Store, "a/b", "old", platform.Version(i))
			}
			_, err := h.Store.Put(ctx, "a/b", []byte("new"), expect, "")
			gomega.Expect(err).To(want)
			if err != nil && writes > 0 {
				expectValue(h.Store, "a/b", "old")
			}
		},
		ginkgo.Entry("absent as expected", 0, platform.Version(0), gomega.Succeed()),
		ginkgo.Entry("absent, but expected", 0, platform.Version(1), gomega.MatchError(platform.ErrConflict)),
		ginkgo.Entry("present as expected", 2, platform.Version(2), gomega.Succeed()),
		ginkgo.Entry("present, but expected absent", 2, platform.Version(0), gomega.MatchError(platform.ErrConflict)),
		ginkgo.Entry("changed since", 2, platform.Version(1), gomega.MatchError(platform.ErrConflict)),
	)

	ginkgo.It("lets exactly one of many writers with the same expectation win", func(ctx ginkgo.SpecContext) {
		const writers = 16
		errs := make(chan error, writers)
		for range writers {
			go func() {
				_, err := h.Store.Put(ctx, "race", []byte("x"), 0, "")
				errs <- err
			}()
		}
		won := 0
		for range writers {
			if err := <-errs; err == nil {
				won++
			} else {
				gomega.Expect(err).To(gomega.MatchError(platform.ErrConflict))
			}
		}
		gomega.Expect(won).To(gomega.Equal(1))
	})

	ginkgo.It("holds values up to the limit and refuses larger ones", func(ctx ginkgo.SpecContext) {
		_, err := h.Store.Put(ctx, "big", make([]byte, platform.MaxValueBytes), 0, "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.Store.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 1, "")
		gomega.Expect(err).To(gomega.MatchError(platform.ErrTooLarge))
	})

	ginkgo.It("does not reuse a version after a delete, so that an old expectation never matches a new value",
		func(ctx ginkgo.SpecContext) {
			v := put(h.Store, "a", "first", 0)
			gomega.Expect(h.Store.Delete(ctx, "a", v+1)).To(gomega.MatchError(platform.ErrConflict))
			gomega.Expect(h.Store.Delete(ctx, "a", v)).To(gomega.Succeed())
			_, err := h.Store.Get(ctx, "a")
			gomega.Expect(err).To(gomega.MatchError(platform.ErrNotFound))
			gomega.Expect(put(h.Store, "a", "second", 0)).To(gomega.BeNumerically(">", v))
		})
}

func storeReads(h *StoreHarness) {
	ginkgo.It("lists the keys under a prefix in order, without their values", func(ctx ginkgo.SpecContext) {
		for _, key := range []string{"p/b", "p/a", "q/c"} {
			put(h.Store, key, "value", 0)
		}
		list, err := h.Store.List(ctx, "p/")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list).To(gomega.HaveLen(2))
		gomega.Expect([]string{list[0].Key, list[1].Key}).To(gomega.Equal([]string{"p/a", "p/b"}))
		gomega.Expect(list[0].Value).To(gomega.BeEmpty())
		gomega.Expect(list[0].Version).To(gomega.Equal(platform.Version(1)))
	})

	ginkgo.It("wakes a watch when the key is written", func(ctx ginkgo.SpecContext) {
		v := put(h.Store, "w", "one", 0)
		seen := make(chan platform.Entry, 1)
		go func() {
			e, err := h.Store.Watch(ctx, "w", v, settle)
			if err == nil {
				seen <- e
			}
		}()
		put(h.Store, "w", "two", v)
		var e platform.Entry
		gomega.Eventually(seen).WithTimeout(settle).Should(gomega.Receive(&e))
		gomega.Expect(string(e.Value)).To(gomega.Equal("two"))
	})

	ginkgo.DescribeTable("answers a watch without a change",
		func(ctx ginkgo.SpecContext, after platform.Version, want types.GomegaMatcher) {
			put(h.Store, "w", "one", 0)
			_, err := h.Store.Watch(ctx, "w", after, time.Millisecond)
			gomega.Expect(err).To(want)
		},
		ginkgo.Entry("at once if the version is higher already", platform.Version(0), gomega.Succeed()),
		ginkgo.Entry("with not found once the wait has passed", platform.Version(1), gomega.MatchError(platform.ErrNotFound)),
	)

	ginkgo.It("ends a watch with its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := h.Store.Watch(ctx, "w", 0, settle)
			ended <- err
		}()
		cancel()
		gomega.Eventually(ended).WithTimeout(settle).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	})
}

func storeLeases(h *StoreHarness) {
	var id platform.LeaseID
	ginkgo.BeforeEach(func(ctx ginkgo.SpecContext) {
		var err error
		id, err = h.Store.Grant(ctx, leaseTTL)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.Store.Put(ctx, "leased", []byte("x"), 0, id)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.DescribeTable("deletes the keys of a lease that ended, and only then",
		func(ctx ginkgo.SpecContext, act func(context.Context), ended bool) {
			act(ctx)
			_, getErr := h.Store.Get(ctx, "leased")
			renewErr := h.Store.Renew(ctx, id)
			_, putErr := h.Store.Put(ctx, "other", []byte("x"), 0, id)
			for _, err := range []error{getErr, renewErr, putErr} {
				if ended {
					gomega.Expect(err).To(gomega.MatchError(platform.ErrNotFound))
				} else {
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
				}
			}
		},
		ginkgo.Entry("before it lapses", func(context.Context) { h.Clock.Advance(leaseTTL - 1) }, false),
		ginkgo.Entry("after it lapsed", func(context.Context) { h.Clock.Advance(leaseTTL) }, true),
		ginkgo.Entry("renewed in time", func(ctx context.Context) {
			h.Clock.Advance(leaseTTL - 1)
			gomega.Expect(h.Store.Renew(ctx, id)).To(gomega.Succeed())
			h.Clock.Advance(leaseTTL - 1)
		}, false),
		ginkgo.Entry("revoked", func(ctx context.Context) { gomega.Expect(h.Store.Revoke(ctx, id)).To(gomega.Succeed()) }, true),
	)

	ginkgo.It("keeps a key that was written again without the lease", func(ctx ginkgo.SpecContext) {
		put(h.Store, "leased", "kept", 1)
		gomega.Expect(h.Store.Revoke(ctx, id)).To(gomega.Succeed())
		expectValue(h.Store, "leased", "kept")
	})
}
