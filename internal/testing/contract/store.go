package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"oleandersill.example/oleandersill/internal/platform"
)

// leaseTTL is the time to live of the leases that the specs grant.
const leaseTTL = 10 * time.Second

// PlatformFault is a fault of a platform that a harness can set.
type PlatformFault string

// The faults that a harness can set. An implementation without a network may treat PlatformRefused and PlatformLimited as
// PlatformDown.
const (
	// PlatformHealthy is no fault.
	PlatformHealthy PlatformFault = "healthy"
	// PlatformDown fails every call with a reply that states that it had no effect.
	PlatformDown PlatformFault = "down"
	// PlatformRefused refuses connections.
	PlatformRefused PlatformFault = "refused"
	// PlatformLimited refuses calls beyond a rate limit, which every call exceeds.
	PlatformLimited PlatformFault = "limited"
	// PlatformSilent never replies.
	PlatformSilent PlatformFault = "silent"
	// PlatformLosesReplies applies writes and loses the replies to them.
	PlatformLosesReplies PlatformFault = "loses replies"
	// PlatformStale returns values and lists that are StaleBy old.
	PlatformStale PlatformFault = "stale"
)

// StaleBy is the age of the data that reads return under PlatformStale.
const StaleBy = time.Minute

// StoreHarness is a store under test and the controls of its platform.
type StoreHarness struct {
	Store platform.Store
	// SetFault replaces the active fault.
	SetFault func(PlatformFault)
	// Unanswered returns how many calls PlatformSilent has left unanswered so far.
	Unanswered func() int
	// Clock is the platform's clock.
	Clock *Clock
}

// Store defines the specs of platform.Store. open returns the harness of an empty store and registers its cleanup.
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

// storeWrites checks that writes are compare-and-swap operations. It guards against lost updates: a write that is accepted
// although another one has changed the key since it was read.
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
		ginkgo.Entry("changed since the expected version", 2, platform.Version(1), gomega.MatchError(platform.ErrConflict)),
	)

	ginkgo.It("accepts exactly one of many concurrent writes that expect the same version", func(ctx ginkgo.SpecContext) {
		const writers = 16
		errs := make(chan error, writers)
		for range writers {
			go func() {
				_, err := h.Store.Put(ctx, "race", []byte("x"), 0, "")
				errs <- err
			}()
		}
		accepted := 0
		for range writers {
			if err := <-errs; err == nil {
				accepted++
			} else {
				gomega.Expect(err).To(gomega.MatchError(platform.ErrConflict))
			}
		}
		gomega.Expect(accepted).To(gomega.Equal(1))
	})

	ginkgo.It("accepts values up to the size limit and refuses larger ones", func(ctx ginkgo.SpecContext) {
		_, err := h.Store.Put(ctx, "big", make([]byte, platform.MaxValueBytes), 0, "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.Store.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 1, "")
		gomega.Expect(err).To(gomega.MatchError(platform.ErrTooLarge))
	})

	ginkgo.It("does not reuse a version after a delete, so that an old expected version never matches a new value",
		func(ctx ginkgo.SpecContext) {
			v := put(h.Store, "a", "first", 0)
			gomega.Expect(h.Store.Delete(ctx, "a", v+1)).To(gomega.MatchError(platform.ErrConflict))
			gomega.Expect(h.Store.Delete(ctx, "a", v)).To(gomega.Succeed())
			_, err := h.Store.Get(ctx, "a")
			gomega.Expect(err).To(gomega.MatchError(platform.ErrNotFound))
			gomega.Expect(put(h.Store, "a", "second", 0)).To(gomega.BeNumerically(">", v))
		})
}

// storeReads checks lists and watches. It guards against watches that miss a change or outlast their wait or their context.
func storeReads(h *StoreHarness) {
	ginkgo.It("lists the keys with a prefix in order, without their values", func(ctx ginkgo.SpecContext) {
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

	ginkgo.It("ends a watch when the key is written", func(ctx ginkgo.SpecContext) {
		v := put(h.Store, "w", "one", 0)
		entries := make(chan platform.Entry, 1)
		go func() {
			e, err := h.Store.Watch(ctx, "w", v, waitTimeout)
			if err == nil {
				entries <- e
			}
		}()
		put(h.Store, "w", "two", v)
		var e platform.Entry
		gomega.Eventually(entries).WithTimeout(waitTimeout).Should(gomega.Receive(&e))
		gomega.Expect(string(e.Value)).To(gomega.Equal("two"))
	})

	ginkgo.DescribeTable("ends a watch without a change",
		func(ctx ginkgo.SpecContext, after platform.Version, want types.GomegaMatcher) {
			put(h.Store, "w", "one", 0)
			_, err := h.Store.Watch(ctx, "w", after, time.Millisecond)
			gomega.Expect(err).To(want)
		},
		ginkgo.Entry("at once if the version is already higher", platform.Version(0), gomega.Succeed()),
		ginkgo.Entry("with ErrNotFound at the end of the wait", platform.Version(1), gomega.MatchError(platform.ErrNotFound)),
	)

	ginkgo.It("ends a watch when its context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		errs := make(chan error, 1)
		go func() {
			_, err := h.Store.Watch(ctx, "w", 0, waitTimeout)
			errs <- err
		}()
		cancel()
		gomega.Eventually(errs).WithTimeout(waitTimeout).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	})
}

// storeLeases checks that a key written with a lease is deleted when the lease ends. It guards against keys that outlive their
// lease, and keys that are deleted while it holds or although they were overwritten without it.
func storeLeases(h *StoreHarness) {
	var id platform.LeaseID
	ginkgo.BeforeEach(func(ctx ginkgo.SpecContext) {
		var err error
		id, err = h.Store.Grant(ctx, leaseTTL)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.Store.Put(ctx, "leased", []byte("x"), 0, id)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.DescribeTable("deletes the keys of a lease when the lease ends, and not earlier",
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
		ginkgo.Entry("before it expires", func(context.Context) { h.Clock.Advance(leaseTTL - 1) }, false),
		ginkgo.Entry("after it has expired", func(context.Context) { h.Clock.Advance(leaseTTL) }, true),
		ginkgo.Entry("renewed in time", func(ctx context.Context) {
			h.Clock.Advance(leaseTTL - 1)
			gomega.Expect(h.Store.Renew(ctx, id)).To(gomega.Succeed())
			h.Clock.Advance(leaseTTL - 1)
		}, false),
		ginkgo.Entry("revoked", func(ctx context.Context) { gomega.Expect(h.Store.Revoke(ctx, id)).To(gomega.Succeed()) }, true),
	)

	ginkgo.It("keeps a key that was overwritten without the lease", func(ctx ginkgo.SpecContext) {
		put(h.Store, "leased", "kept", 1)
		gomega.Expect(h.Store.Revoke(ctx, id)).To(gomega.Succeed())
		expectValue(h.Store, "leased", "kept")
	})
}
