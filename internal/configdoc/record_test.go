package configdoc_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/configdoc"
)

type partHashes = map[configdoc.PartName]configdoc.Hash

func sealed(prev *configdoc.Root, parts partHashes) *configdoc.Root {
	root := &configdoc.Root{Revision: 1, Editor: "anna", Reason: "why", Parts: parts}
	if prev != nil {
		root.Revision = prev.Revision + 1
		_, root.Previous = prev.Record()
	}
	root.DescribeChanges(prev)
	return root
}

func recordOf(root *configdoc.Root) *configdoc.Root {
	value, hash := root.Record()
	Expect(configdoc.HashOf(value)).To(Equal(hash))
	record, err := configdoc.DecodeRoot(value)
	Expect(err).NotTo(HaveOccurred())
	return record
}

var _ = Describe("records of roots", func() {
	first := func() *configdoc.Root {
		return sealed(nil, partHashes{"fleet": "f1", "rules": "r1", "service/a": "a1"})
	}

	// Guards against an audit trail that cannot give back what was accepted once only records of it are kept.
	DescribeTable("give back the root from the next one",
		func(parts partHashes, changed ...configdoc.PartName) {
			before := first()
			next := sealed(before, parts)
			record := recordOf(before)
			Expect(record.Parts).To(BeNil())
			Expect(record.RestoreParts(next)).To(Succeed())
			Expect(record.Encode()).To(Equal(before.Encode()))
			Expect(configdoc.ChangeOf(nil, recordOf(next))).To(Equal(configdoc.ChangeOf(before, next)))
			Expect(configdoc.ChangeOf(before, next).Parts).To(ConsistOf(changed))
		},
		Entry("a part changed", partHashes{"fleet": "f2", "rules": "r1", "service/a": "a1"}, configdoc.PartFleet),
		Entry("a part came and one went", partHashes{"fleet": "f1", "rules": "r1", "service/b": "b1"},
			configdoc.PartName("service/a"), configdoc.PartName("service/b")),
		Entry("nothing changed", partHashes{"fleet": "f1", "rules": "r1", "service/a": "a1"}),
	)

	// Guards against a revision that names fewer changes than it makes.
	It("refuse a next root that hides a change", func() {
		before := first()
		next := sealed(before, partHashes{"fleet": "f2", "rules": "r2", "service/a": "a1"})
		delete(next.Before, configdoc.PartRules)
		Expect(recordOf(before).RestoreParts(next)).To(MatchError(configdoc.ErrCorrupt))
	})

	// Guards against a head whose parts are not those that the audit trail has of it.
	It("refuse a root with other parts than those of its record", func() {
		root := first()
		root.Parts["rules"] = "r2"
		_, err := configdoc.DecodeRoot(root.Encode())
		Expect(err).To(MatchError(configdoc.ErrCorrupt))
	})

	// Stores hold roots from before there were records; what follows them must be readable back to them.
	It("follow a root that was not sealed", func() {
		old := &configdoc.Root{Revision: 1, Parts: partHashes{"fleet": "f1"}}
		value, hash := old.Record()
		Expect(value).To(Equal(old.Encode()))
		next := sealed(old, partHashes{"fleet": "f2"})
		Expect(next.Previous).To(Equal(hash))
		copied := recordOf(old)
		Expect(copied.RestoreParts(next)).To(Succeed())
		Expect(copied).To(Equal(old))
	})
})
