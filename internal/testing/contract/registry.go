package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// RegistryHarness is the store of a platform and the clients of it under test.
type RegistryHarness struct {
	Reader registry.Reader
	// Announcer returns a client that writes a daemon's entry.
	Announcer func() registry.Announcer
	// Configure writes the configuration with the given version, as the operator does.
	Configure func(model.RoutingVersion)
	// Register writes a valid entry of a server, Corrupt writes one that cannot be decoded, and Remove deletes it.
	Register, Corrupt, Remove func(model.ServerName)
	// Compact drops the store's history.
	Compact func()
	// Restore returns the store to the state that it had at the given time before now, and raises its era. The writes of Configure,
	// Register and Remove that are lost are repeated within 2 s.
	Restore func(age time.Duration)
	// StallConnections ends replies on all open connections, without closing them. New connections work.
	StallConnections func()
	// Faults maps names to functions that inject a fault under which every call fails. ClearFaults removes the fault.
	Faults      map[string]func()
	ClearFaults func()
}

const (
	// longWait is the wait of a watch that a change should end earlier, and shortWait that of a watch without a change.
	longWait  = 2 * time.Second
	shortWait = 100 * time.Millisecond
	// callTimeout is the timeout of a call under a fault.
	callTimeout = 150 * time.Millisecond
	// entryTTL is the time to live of a daemon's entry that is not renewed.
	entryTTL = 300 * time.Millisecond
)

var daemonEntry = model.Member{Instance: "d1", Zone: "z1", Address: "127.0.0.1:1", Incarnation: 7}

// Registry defines the specs of registry.Reader and registry.Announcer. open returns the harness of an empty store and
// registers its cleanup.
func Registry(open func() *RegistryHarness) {
	CheckGoroutineLeaks()
	var h *RegistryHarness
	ginkgo.BeforeEach(func() { h = open() })
	registryReads(&h)
	registryEntries(&h)
	registryFaults(&h)
	registryRestores(&h)
}

// load returns the complete registry.
func (h *RegistryHarness) load() registry.Update {
	ginkgo.GinkgoHelper()
	u, err := h.Reader.Load(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(u.Complete).To(gomega.BeTrue())
	return u
}

// nextUpdate watches for changes after an update. It checks that the result holds changes only, not the complete registry.
func (h *RegistryHarness) nextUpdate(after registry.Update, wait time.Duration) registry.Update {
	ginkgo.GinkgoHelper()
	u, err := h.Reader.Watch(context.Background(), after.Point(), wait)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(u.Complete).To(gomega.BeFalse())
	gomega.Expect(u.Revision).To(gomega.BeNumerically(">=", after.Revision))
	return u
}

// announce writes the daemon's entry.
func announce(a registry.Announcer) directory.Era {
	ginkgo.GinkgoHelper()
	era, err := a.Announce(context.Background(), daemonEntry, entryTTL)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return era
}

// registryReads checks the reads of the configuration and the servers. It guards against changes that a watch misses, or reports
// only at the end of its wait.
func registryReads(h **RegistryHarness) {
	ginkgo.It("loads the complete registry and then watches for changes", func() {
		(*h).Configure(3)
		(*h).Register("a")
		u := (*h).load()
		gomega.Expect(u.Routing.Version).To(gomega.Equal(model.RoutingVersion(3)))
		gomega.Expect(u.Servers).To(gomega.HaveLen(1))
		(*h).Register("b")
		(*h).Configure(5)
		u = (*h).nextUpdate(u, longWait)
		if u.Routing == nil {
			u = (*h).nextUpdate(u, longWait)
		}
		gomega.Expect(u.Routing.Version).To(gomega.Equal(model.RoutingVersion(5)))
	})
	ginkgo.It("returns an empty update at the end of the wait if nothing changes", func() {
		(*h).Configure(1)
		u := (*h).load()
		start := time.Now()
		next := (*h).nextUpdate(u, shortWait)
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically(">=", shortWait))
		gomega.Expect(next.Routing).To(gomega.BeNil())
		gomega.Expect(next.Servers).To(gomega.BeEmpty())
	})
	ginkgo.It("returns as soon as something changes", func() {
		u := (*h).load()
		timer := time.AfterFunc(shortWait, func() { (*h).Register("a") })
		defer timer.Stop()
		start := time.Now()
		gomega.Expect((*h).nextUpdate(u, longWait).Servers).To(gomega.HaveLen(1))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", longWait/2))
	})
	ginkgo.It("returns a reply after Reconnect although the kept connections do not reply", func() {
		// Guards against calls that use a kept connection on which messages are lost.
		u := (*h).load()
		(*h).StallConnections()
		(*h).Register("a")
		(*h).Reader.Reconnect()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		next, err := (*h).Reader.Watch(ctx, u.Point(), longWait)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(next.Servers).To(gomega.HaveLen(1))
	})
	ginkgo.It("fails with ErrHistoryLost if the store has compacted the revision, and can load again", func() {
		u := (*h).load()
		(*h).Register("a")
		(*h).Register("b")
		(*h).Compact()
		_, err := (*h).Reader.Watch(context.Background(), u.Point(), longWait)
		gomega.Expect(err).To(matchSentinel(registry.ErrHistoryLost))
		gomega.Expect((*h).load().Servers).To(gomega.HaveLen(2))
	})
}

// registryEntries checks the entries of servers and daemons. It guards against entries of stopped daemons that remain, and
// against unreadable or removed entries of servers that are not reported.
func registryEntries(h **RegistryHarness) {
	ginkgo.It("reports a server's entry that cannot be decoded, and one that was removed", func() {
		(*h).Register("a")
		u := (*h).load()
		(*h).Corrupt("a")
		u = (*h).nextUpdate(u, longWait)
		gomega.Expect(u.Servers[0].State).To(gomega.Equal(registry.EntryUnreadable))
		gomega.Expect(u.Problems).To(gomega.HaveLen(1))
		(*h).Remove("a")
		u = (*h).nextUpdate(u, longWait)
		gomega.Expect(u.Servers[0].State).To(gomega.Equal(registry.EntryRemoved))
		gomega.Expect((*h).load().Servers).To(gomega.BeEmpty())
	})
	ginkgo.It("keeps a daemon's entry while it is renewed, until it is withdrawn", func() {
		a := (*h).Announcer()
		announce(a)
		// Renewals come often, so that a late one on a busy machine does not let the entry expire.
		for range 9 {
			time.Sleep(entryTTL / 6)
			gomega.Expect(a.Renew(context.Background())).To(gomega.Succeed())
		}
		u := (*h).load()
		gomega.Expect(u.Members).To(gomega.Equal([]registry.MemberEntry{{Instance: daemonEntry.Instance, Member: daemonEntry}}))
		gomega.Expect(a.Withdraw(context.Background())).To(gomega.Succeed())
		u = (*h).nextUpdate(u, longWait)
		gomega.Expect(u.Members[0].Gone).To(gomega.BeTrue())
	})
	ginkgo.It("removes a daemon's entry that is not renewed, and fails a late renewal with ErrLeaseEnded", func() {
		a := (*h).Announcer()
		announce(a)
		time.Sleep(2 * entryTTL)
		gomega.Expect((*h).load().Members).To(gomega.BeEmpty())
		gomega.Expect(a.Renew(context.Background())).To(matchSentinel(registry.ErrLeaseEnded))
		announce(a)
		gomega.Expect((*h).load().Members).To(gomega.HaveLen(1))
	})
}

// registryFaults checks that a fault delays a call no longer than its context allows, and that the clients recover.
func registryFaults(h **RegistryHarness) {
	ginkgo.It("fails within the caller's timeout under every fault, and succeeds after it", func() {
		// Guards against a call that outlasts its context, and against a broken connection that later calls reuse.
		(*h).Configure(1)
		u := (*h).load()
		for name, inject := range (*h).Faults {
			inject()
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			start := time.Now()
			_, errLoad := (*h).Reader.Load(ctx)
			_, errWatch := (*h).Reader.Watch(ctx, u.Point(), shortWait)
			_, errAnnounce := (*h).Announcer().Announce(ctx, daemonEntry, entryTTL)
			cancel()
			gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", 4*callTimeout), name)
			gomega.Expect([]error{errLoad, errWatch, errAnnounce}).NotTo(gomega.ContainElement(gomega.BeNil()), name)
			(*h).ClearFaults()
			gomega.Expect((*h).load().Routing.Version).To(gomega.Equal(model.RoutingVersion(1)), name)
		}
	})
}
