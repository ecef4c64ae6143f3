package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// RegistryHarness is a store of a platform with the product's clients of it.
type RegistryHarness struct {
	Reader registry.Reader
	// Announcer returns a client that writes a daemon's entry.
	Announcer func() registry.Announcer
	// Configure writes a version of the configuration as the operator does.
	Configure func(model.RoutingVersion)
	// Register writes a server's entry, Corrupt one that cannot be read, and Remove removes it.
	Register, Corrupt, Remove func(model.ServerName)
	// Compact drops the store's history.
	Compact func()
	// Faults are the states in which the store answers no call, by name. Heal ends them.
	Faults      map[string]func()
	ClearFaults func()
}

const (
	// watchFor is the wait of a watch that should return before, and shortWatch that of one that should not.
	watchFor   = 2 * time.Second
	shortWatch = 100 * time.Millisecond
	// callBound is how long a call may take that is never answered.
	callBound = 150 * time.Millisecond
	// entryTTL is the life of a daemon's entry that is not renewed.
	entryTTL = 300 * time.Millisecond
)

var daemonEntry = model.Member{Instance: "d1", Zone: "z1", Address: "127.0.0.1:1", Incarnation: 7}

// Registry describes registry.Reader and registry.Announcer. open returns a store that holds nothing, and registers its
// cleanup.
func Registry(open func() *RegistryHarness) {
	CheckGoroutineLeaks()
	var h *RegistryHarness
	ginkgo.BeforeEach(func() { h = open() })
	registryReads(&h)
	registryEntries(&h)
	registryFaults(&h)
}

func (h *RegistryHarness) load() registry.Update {
	ginkgo.GinkgoHelper()
	u, err := h.Reader.Load(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(u.Complete).To(gomega.BeTrue())
	return u
}

// next watches from an update and checks that the answer is no complete one.
func (h *RegistryHarness) next(after registry.Update, wait time.Duration) registry.Update {
	ginkgo.GinkgoHelper()
	u, err := h.Reader.Watch(context.Background(), after.Revision, wait)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(u.Complete).To(gomega.BeFalse())
	gomega.Expect(u.Revision).To(gomega.BeNumerically(">=", after.Revision))
	return u
}

func registryReads(h **RegistryHarness) {
	ginkgo.It("reads everything, and then what changed", func() {
		(*h).Configure(3)
		(*h).Register("a")
		u := (*h).load()
		gomega.Expect(u.Routing.Version).To(gomega.Equal(model.RoutingVersion(3)))
		gomega.Expect(u.Servers).To(gomega.HaveLen(1))
		(*h).Register("b")
		(*h).Configure(5)
		u = (*h).next(u, watchFor)
		if u.Routing == nil {
			u = (*h).next(u, watchFor)
		}
		gomega.Expect(u.Routing.Version).To(gomega.Equal(model.RoutingVersion(5)))
	})
	ginkgo.It("returns without a change after the wait, and from the same revision", func() {
		(*h).Configure(1)
		u := (*h).load()
		begin := time.Now()
		next := (*h).next(u, shortWatch)
		gomega.Expect(time.Since(begin)).To(gomega.BeNumerically(">=", shortWatch))
		gomega.Expect(next.Routing).To(gomega.BeNil())
		gomega.Expect(next.Servers).To(gomega.BeEmpty())
	})
	ginkgo.It("returns as soon as something changes", func() {
		u := (*h).load()
		timer := time.AfterFunc(shortWatch, func() { (*h).Register("a") })
		defer timer.Stop()
		begin := time.Now()
		gomega.Expect((*h).next(u, watchFor).Servers).To(gomega.HaveLen(1))
		gomega.Expect(time.Since(begin)).To(gomega.BeNumerically("<", watchFor/2))
	})
	ginkgo.It("says that the history is lost when it is", func() {
		u := (*h).load()
		(*h).Register("a")
		(*h).Register("b")
		(*h).Compact()
		_, err := (*h).Reader.Watch(context.Background(), u.Revision, watchFor)
		gomega.Expect(err).To(mean(registry.ErrHistoryLost))
		gomega.Expect((*h).load().Servers).To(gomega.HaveLen(2))
	})
}

func registryEntries(h **RegistryHarness) {
	ginkgo.It("tells of a server's entry that cannot be read, and of one that is gone", func() {
		(*h).Register("a")
		u := (*h).load()
		(*h).Corrupt("a")
		u = (*h).next(u, watchFor)
		gomega.Expect(u.Servers[0].State).To(gomega.Equal(registry.EntryUnreadable))
		gomega.Expect(u.Problems).To(gomega.HaveLen(1))
		(*h).Remove("a")
		u = (*h).next(u, watchFor)
		gomega.Expect(u.Servers[0].State).To(gomega.Equal(registry.EntryRemoved))
		gomega.Expect((*h).load().Servers).To(gomega.BeEmpty())
	})
	ginkgo.It("keeps a daemon's entry while it is renewed, and until it is withdrawn", func() {
		a := (*h).Announcer()
		gomega.Expect(a.Announce(context.Background(), daemonEntry, entryTTL)).To(gomega.Succeed())
		for range 3 {
			time.Sleep(entryTTL / 2)
			gomega.Expect(a.Renew(context.Background())).To(gomega.Succeed())
		}
		u := (*h).load()
		gomega.Expect(u.Members).To(gomega.Equal([]registry.MemberEntry{{Instance: daemonEntry.Instance, Member: daemonEntry}}))
		gomega.Expect(a.Withdraw(context.Background())).To(gomega.Succeed())
		u = (*h).next(u, watchFor)
		gomega.Expect(u.Members[0].Gone).To(gomega.BeTrue())
	})
	ginkgo.It("removes a daemon's entry that is not renewed, and says so to a renewal that comes late", func() {
		a := (*h).Announcer()
		gomega.Expect(a.Announce(context.Background(), daemonEntry, entryTTL)).To(gomega.Succeed())
		time.Sleep(2 * entryTTL)
		gomega.Expect((*h).load().Members).To(gomega.BeEmpty())
		gomega.Expect(a.Renew(context.Background())).To(mean(registry.ErrLeaseEnded))
		gomega.Expect(a.Announce(context.Background(), daemonEntry, entryTTL)).To(gomega.Succeed())
		gomega.Expect((*h).load().Members).To(gomega.HaveLen(1))
	})
}

func registryFaults(h **RegistryHarness) {
	ginkgo.It("fails within the caller's bound under every fault, and serves again after it", func() {
		// Guards against a call that outlives its caller, and against a connection that stays bad.
		(*h).Configure(1)
		u := (*h).load()
		for name, begin := range (*h).Faults {
			begin()
			ctx, cancel := context.WithTimeout(context.Background(), callBound)
			started := time.Now()
			_, errLoad := (*h).Reader.Load(ctx)
			_, errWatch := (*h).Reader.Watch(ctx, u.Revision, shortWatch)
			errAnnounce := (*h).Announcer().Announce(ctx, daemonEntry, entryTTL)
			cancel()
			gomega.Expect(time.Since(started)).To(gomega.BeNumerically("<", 4*callBound), name)
			gomega.Expect([]error{errLoad, errWatch, errAnnounce}).NotTo(gomega.ContainElement(gomega.BeNil()), name)
			(*h).ClearFaults()
			gomega.Expect((*h).load().Routing.Version).To(gomega.Equal(model.RoutingVersion(1)), name)
		}
	})
}
