package configure_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
)

var _ = Describe("a collection whose process is paused", func() {
	// Guards against deletes that a resumed process sends after its lease may have expired and another collection began.
	It("deletes nothing after the first half of its lease", func() {
		ctx := context.Background()
		store := newFaultyStore()
		unused := configdoc.PrefixParts + "unused"
		_, err := store.Put(ctx, unused, []byte("{}"), 0, "")
		Expect(err).NotTo(HaveOccurred())
		c := newConfigurer(store)
		Expect(c.Apply(ctx, change(0, "first", 1, 1)).Verdict).To(Equal(configure.Accepted))
		now := time.Now()
		c.Now = func() time.Time { return now }
		// The pause falls between the last call before the deletes, which rewrites the head, and the first delete.
		c.Store = &hookedStore{faultyStore: store, before: "put " + configdoc.KeyHead, hook: func() {
			now = now.Add(5 * time.Minute)
		}}
		result, err := c.Collect(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Removed).To(BeZero())
		Expect(result.Skipped).To(Equal(1))
		Expect(store.last(unused).Version).NotTo(BeZero())
	})
})
