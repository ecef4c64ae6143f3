package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
)

// entry returns an entry of the server "a".
func entry(born int64, sequence model.EntrySequence, leaving bool, revision directory.Revision) directory.Entry {
	r := server("a", leaving)
	r.Started = born
	return directory.Entry{Registration: r, Sequence: sequence, Revision: revision}
}

// readAt is when the restored store is read, and restoreEnd when lost entries count as gone.
var (
	readAt     = start.Add(time.Minute)
	restoreEnd = readAt.Add(directory.RestoreGrace)
)

var _ = Describe("a Directory after the store was restored", func() {
	var d *directory.Directory
	ready, old := entry(1, 6, false, 90), entry(1, 5, false, 40)
	usedAt := func(now time.Time) []string {
		d.Expire(now)
		return names(d)
	}
	BeforeEach(func() { d = directory.New(drainPeriod) })

	DescribeTable("keeps the newer of the known and the read entry of a server",
		func(known, read directory.Entry, wantLeaving bool) {
			// Guards against a draining server that becomes ready again, and against a run that is over.
			d.Put(known)
			d.MergeRestored([]directory.Entry{read}, readAt)
			Expect(usedAt(restoreEnd)).To(ConsistOf("a"))
			Expect(d.Servers()[0].Leaving).To(Equal(wantLeaving))
		},
		Entry("the known one is draining and newer", entry(1, 6, true, 90), old, true),
		Entry("the read one is newer", ready, entry(1, 7, true, 40), true),
		Entry("the read one is of a later run", entry(1, 6, true, 90), entry(2, 1, false, 40), false),
		Entry("the known one is of a later run", entry(2, 1, false, 90), entry(1, 6, true, 40), false),
		Entry("the read one does not state the start", ready, entry(0, 9, true, 40), false),
	)

	It("applies a write of the new era although its revision is lower", func() {
		// Guards against a server whose writes are ignored until revisions have caught up.
		d.Put(entry(1, 6, true, 90))
		d.MergeRestored([]directory.Entry{old}, readAt)
		Expect(d.Put(old)).To(BeFalse())
		Expect(d.Put(entry(1, 7, false, 41))).To(BeTrue())
	})

	It("keeps a server whose entry is missing until it is written again", func() {
		// Guards against servers that get no requests until they have repeated what the store lost.
		d.Put(ready)
		Expect(d.MergeRestored(nil, readAt)).To(BeEmpty())
		Expect(usedAt(readAt.Add(restoreTime))).To(ConsistOf("a"))
		Expect(d.Put(entry(1, 6, false, 40))).To(BeFalse())
		Expect(usedAt(restoreEnd)).To(ConsistOf("a"))
	})

	It("drops a server whose entry is still missing at the end of the grace period", func() {
		// Guards against a server that is used for ever because the store lost its entry.
		d.Put(ready)
		d.MergeRestored(nil, readAt)
		Expect(d.NextExpiry()).To(Equal(restoreEnd))
		Expect(usedAt(restoreEnd)).To(BeEmpty())
	})

	It("counts the grace period again if the store is restored again", func() {
		// Guards against servers that are dropped although the second restore lost what they had repeated.
		d.Put(ready)
		d.MergeRestored(nil, readAt)
		d.MergeRestored(nil, readAt.Add(time.Second))
		Expect(usedAt(restoreEnd)).To(ConsistOf("a"))
	})

	DescribeTable("holds a server that had left and that the copy has", func(leave func(), removedAgain bool, want []string) {
		// Guards against requests to a server that has stopped, and against a running one that is never used again.
		d.Put(ready)
		leave()
		d.MergeRestored([]directory.Entry{entry(1, 6, false, 40)}, readAt)
		Expect(usedAt(readAt.Add(restoreTime))).To(BeEmpty())
		if removedAgain {
			d.RemoveEntry("a", readAt, readAt)
		}
		Expect(usedAt(restoreEnd)).To(Equal(want))
	},
		Entry("in its grace period", func() { d.RemoveEntry("a", readAt, readAt) }, true, nil),
		Entry("after that", func() { d.DropServer("a") }, true, nil),
		Entry("until then, if it is not removed again", func() { d.DropServer("a") }, false, []string{"a"}),
	)

	It("never uses a run again that had announced that it leaves", func() {
		// Guards against the ready entry of a server that has drained and stopped.
		d.Put(entry(1, 6, true, 90))
		d.RemoveEntry("a", start, start)
		d.MergeRestored([]directory.Entry{old}, readAt)
		d.Expire(restoreEnd)
		Expect(d.Servers()[0].Leaving).To(BeTrue())
	})

	It("keeps leaving marks", func() {
		// Guards against requests to a server that said in a reply that it leaves.
		d.Put(ready)
		d.MarkLeaving(model.LeavingServer{Server: "a", Started: 1}, start)
		d.MergeRestored([]directory.Entry{old}, readAt)
		Expect(d.Servers()[0].Leaving).To(BeTrue())
	})
})
