package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/registry"
)

const (
	// restoreAge is the age of the copy from which the store is restored. The specs make changes that are to be lost after a pause that
	// is longer.
	restoreAge = 100 * time.Millisecond
	// repeatTimeout is how long writers may take to repeat what was lost.
	repeatTimeout = 2500 * time.Millisecond
)

// registryRestores checks what the clients report after the store was restored. It guards against a watch that goes on from a
// revision of the earlier era, and against a lease that is used although its number may have been granted again.
func registryRestores(h **RegistryHarness) {
	ginkgo.It("fails with ErrHistoryLost after a restore, and loads the older content under a later era", func() {
		(*h).Register("a")
		time.Sleep(2 * restoreAge)
		(*h).Register("b")
		u := (*h).load()
		(*h).Restore(restoreAge)
		gomega.Eventually(func() error {
			_, err := (*h).Reader.Watch(context.Background(), u.Point(), shortWait)
			return err
		}, longWait).Should(matchSentinel(registry.ErrHistoryLost))
		restored := (*h).loadRestored()
		gomega.Expect(restored.Era).To(gomega.BeNumerically(">", u.Era))
		gomega.Eventually(func() int { return len((*h).load().Servers) }, repeatTimeout).Should(gomega.Equal(2))
	})
	ginkgo.It("ends a watch that waits when the store is restored", func() {
		(*h).Register("a")
		time.Sleep(2 * restoreAge)
		u := (*h).load()
		timer := time.AfterFunc(shortWait, func() { (*h).Restore(restoreAge) })
		defer timer.Stop()
		start := time.Now()
		gomega.Eventually(func() error {
			_, err := (*h).Reader.Watch(context.Background(), u.Point(), longWait)
			return err
		}, 2*longWait).Should(matchSentinel(registry.ErrHistoryLost))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", longWait))
	})
	ginkgo.It("loses the leases, reports that instead of a renewal, and accepts the entry under a new lease", func() {
		a := (*h).Announcer()
		era := announce(a)
		(*h).Restore(restoreAge)
		restored := (*h).loadRestored()
		gomega.Expect(restored.Era).To(gomega.BeNumerically(">", era))
		gomega.Expect(restored.Members).To(gomega.BeEmpty())
		other := (*h).Announcer()
		announce(other)
		gomega.Expect(a.Renew(context.Background())).To(matchSentinel(registry.ErrStoreRestored))
		gomega.Expect(announce(a)).To(gomega.Equal(restored.Era))
		gomega.Expect(a.Renew(context.Background())).To(gomega.Succeed())
	})
}

// loadRestored returns the complete registry as soon as the restored store answers.
func (h *RegistryHarness) loadRestored() registry.Update {
	ginkgo.GinkgoHelper()
	var u registry.Update
	gomega.Eventually(func() (err error) {
		u, err = h.Reader.Load(context.Background())
		return err
	}, longWait).Should(gomega.Succeed())
	return u
}
