package configread_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/query/audit"
	"oleandersill.example/oleandersill/internal/query/configread"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestConfigRead(t *testing.T) { suite.Run(t, "./internal/query/configread") }

// acceptRevision writes a revision to the store like an accepted change, and returns the hash of its root's record.
func acceptRevision(store platform.Store, revision model.Revision, previous configdoc.Hash) configdoc.Hash {
	ctx := context.Background()
	head, err := configstore.Reader{Store: store}.Head(ctx)
	Expect(err).NotTo(HaveOccurred())
	root := &configdoc.Root{Revision: revision, Previous: previous, Editor: "anna", Parts: map[configdoc.PartName]configdoc.Hash{}}
	inv := model.Inventory{MaxInstances: int(revision)}
	for name, part := range configdoc.Split(inv, model.Rules{}) {
		root.Parts[name] = part.Hash
		_, err := store.Put(ctx, configdoc.PrefixParts+string(part.Hash), part.Value, 0, "")
		Expect(err).To(Or(BeNil(), MatchError(platform.ErrConflict)))
	}
	root.DescribeChanges(head.Root)
	record, hash := root.Record()
	_, err = store.Put(ctx, configdoc.PrefixRoots+string(hash), record, 0, "")
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Put(ctx, configdoc.KeyHead, root.Encode(), platform.Version(revision-1), "")
	Expect(err).NotTo(HaveOccurred())
	return hash
}

var _ = Describe("reads of the configuration", func() {
	ctx := context.Background()
	var store *memplatform.Platform
	var reader configstore.Reader
	BeforeEach(func() {
		store = memplatform.New(time.Now)
		reader = configstore.Reader{
			Store: store, Backoff: configstore.Backoff{MaxAttempts: 2, InitialDelay: time.Millisecond, MaxDelay: time.Millisecond},
		}
	})

	// Guards against a read that returns another revision than the requested one, or one that does not exist.
	It("finds the current and earlier revisions", func() {
		_, err := configread.Reader{Store: reader}.Get(ctx, 0)
		Expect(err).To(MatchError(configread.ErrNoConfiguration))
		hash := acceptRevision(store, 1, "")
		acceptRevision(store, 2, hash)
		current, err := configread.Reader{Store: reader}.Get(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Revision).To(Equal(model.Revision(2)))
		first, err := configread.Reader{Store: reader}.Get(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Inventory.MaxInstances).To(Equal(1))
		_, err = configread.Reader{Store: reader}.Get(ctx, 3)
		Expect(err).To(MatchError(configstore.ErrNoRevision))
	})

	// Guards against an outage of the store that hides the configuration in force from operators, and against one in which they
	// cannot tell that the configuration does not come from the store.
	It("returns the configuration in force while the store is down, and reports it as the source", func() {
		inForce := tables.NewConfig()
		inForce.Install(model.NewTopology(7, model.Inventory{MaxInstances: 7}, model.Rules{}))
		store.SetFaults(memplatform.Faults{Down: true})
		r := configread.Reader{Store: reader, InForce: inForce}
		c, err := r.Get(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Source).To(Equal(configread.SourceInForce))
		Expect(c.Inventory.MaxInstances).To(Equal(7))
		_, err = r.Get(ctx, 6)
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})

	// Guards against a list that shifts while changes are accepted, so that its pages repeat or omit entries.
	It("lists the audit trail in pages that stay the same while changes are accepted", func() {
		var hash configdoc.Hash
		for i := range model.Revision(5) {
			hash = acceptRevision(store, i+1, hash)
		}
		lister := audit.Lister{Store: reader}
		first, err := lister.List(ctx, "", 2)
		Expect(err).NotTo(HaveOccurred())
		acceptRevision(store, 6, hash)
		rest, err := lister.List(ctx, first.Next, 10)
		Expect(err).NotTo(HaveOccurred())
		var revisions []model.Revision
		for _, c := range append(first.Changes, rest.Changes...) {
			revisions = append(revisions, c.Revision)
		}
		Expect(revisions).To(Equal([]model.Revision{5, 4, 3, 2, 1}))
		Expect(rest.Next).To(BeEmpty())
		Expect(first.Changes[0].Parts).To(Equal([]configdoc.PartName{configdoc.PartFleet}))
	})
})
