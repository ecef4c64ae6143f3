package configdoc_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/configdoc"
)

type partHashes = map[configdoc.PartName]configdoc.Hash

// nextRoot returns a root that follows prev, which is nil for the first revision.
func nextRoot(prev *configdoc.Root, parts partHashes) *configdoc.Root {
	root := &configdoc.Root{Revision: 1, Editor: "anna", Reason: "why", Parts: parts}
	if prev != nil {
		root.Revision = prev.Revision + 1
		_, root.Previous = prev.Record()
	}
	root.DescribeChanges(prev)
	return root
}

// recordOf returns the decoded record of a root.
func recordOf(root *configdoc.Root) *configdoc.Root {
	value, hash := root.Record()
	Expect(configdoc.HashOf(value)).To(Equal(hash))
	record, err := configdoc.DecodeRoot(value)
	Expect(err).NotTo(HaveOccurred())
	return record
}

var _ = Describe("records of roots", func() {
	firstRoot := func() *configdoc.Root {
		return nextRoot(nil, partHashes{"fleet": "f1", "rules": "r1", "service/a": "a1"})
	}

	// Guards against an audit trail from which an accepted revision cannot be restored once only its record is kept.
	DescribeTable("restore the root from the next one",
		func(parts partHashes, changed ...configdoc.PartName) {
			before := firstRoot()
			next := nextRoot(before, parts)
			record := recordOf(before)
			Expect(record.Parts).To(BeNil())
			Expect(record.RestoreParts(next)).To(Succeed())
			Expect(record.Encode()).To(Equal(before.Encode()))
			Expect(configdoc.ChangeOf(nil, recordOf(next))).To(Equal(configdoc.ChangeOf(before, next)))
			Expect(configdoc.ChangeOf(before, next).Parts).To(ConsistOf(changed))
		},
		Entry("a part is changed", partHashes{"fleet": "f2", "rules": "r1", "service/a": "a1"}, configdoc.PartFleet),
		Entry("a part is added and one is removed", partHashes{"fleet": "f1", "rules": "r1", "service/b": "b1"},
			configdoc.PartName("service/a"), configdoc.PartName("service/b")),
		Entry("nothing is changed", partHashes{"fleet": "f1", "rules": "r1", "service/a": "a1"}),
	)

	// Guards against a revision whose Before lists fewer changes than it makes.
	It("reject a next root that omits a change", func() {
		before := firstRoot()
		next := nextRoot(before, partHashes{"fleet": "f2", "rules": "r2", "service/a": "a1"})
		delete(next.Before, configdoc.PartRules)
		Expect(recordOf(before).RestoreParts(next)).To(MatchError(configdoc.ErrCorrupt))
	})

	// Guards against a head whose parts differ from those recorded in the audit trail.
	It("reject a root with parts other than those of its record", func() {
		root := firstRoot()
		root.Parts["rules"] = "r2"
		_, err := configdoc.DecodeRoot(root.Encode())
		Expect(err).To(MatchError(configdoc.ErrCorrupt))
	})

	// Guards against an audit trail that cannot be read back to a root written before records were introduced. Stores still
	// hold such roots.
	It("can follow a root without PartsHash", func() {
		old := &configdoc.Root{Revision: 1, Parts: partHashes{"fleet": "f1"}}
		value, hash := old.Record()
		Expect(value).To(Equal(old.Encode()))
		next := nextRoot(old, partHashes{"fleet": "f2"})
		Expect(next.Previous).To(Equal(hash))
		restored := recordOf(old)
		Expect(restored.RestoreParts(next)).To(Succeed())
		Expect(restored).To(Equal(old))
	})
})
