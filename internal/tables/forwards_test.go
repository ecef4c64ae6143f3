package tables_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

var _ = Describe("Forwards", func() {
	asker := member("asker", 1)
	attempt := func(request model.RequestID, n uint32) backend.AttemptID {
		return backend.AttemptID{Request: request, Incarnation: 1, Attempt: n}
	}
	result := func(request model.RequestID, n uint32) forwarding.Result {
		return forwarding.Result{ID: attempt(request, n)}
	}
	var t *tables.Forwards
	var taken tables.OutboundBatch
	// take returns the attempts whose results the table lets go.
	take := func() []uint32 {
		var ok bool
		taken, ok = t.Take()
		Expect(ok).To(BeTrue())
		var out []uint32
		for _, r := range taken.Batch.Results {
			out = append(out, r.ID.Attempt)
		}
		return out
	}

	BeforeEach(func() {
		t = tables.NewForwards()
		for n := range uint32(3) {
			t.Accept(asker.Instance, attempt("q", n), func() {})
		}
		// Attempt 0 is held back for the others of its query.
		Expect(t.QueueResult(asker, result("q", 0), true)).To(BeTrue())
	})

	DescribeTable("lets a result go that was held back for others of its query",
		func(event func(), want []uint32) {
			event()
			Expect(take()).To(Equal(want))
			Expect(t.DrainInbound()).NotTo(BeClosed())
		},
		Entry("once Flush is called", func() { t.Flush(asker.Instance) }, []uint32{0}),
		Entry("with a result that may not wait", func() { t.QueueResult(asker, result("q", 1), false) }, []uint32{0, 1}),
		Entry("with a result of another query, which waits for none", func() { t.QueueResult(asker, result("p", 9), true) }, []uint32{0, 9}),
		Entry("when the table closes", func() { t.Close() }, []uint32{0}),
	)

	It("lets all results of a query go with the last one, and asks for one Flush", func() {
		Expect(t.QueueResult(asker, result("q", 1), true)).To(BeFalse())
		Expect(t.QueueResult(asker, result("q", 2), true)).To(BeFalse())
		Expect(take()).To(Equal([]uint32{0, 1, 2}))
		retired := t.DrainInbound()
		Expect(retired).NotTo(BeClosed())
		t.Sent(taken)
		Expect(retired).To(BeClosed())
	})

	It("counts a sub-request once that was delivered twice", func() {
		// Guards against results that wait for a sub-request that ended.
		t.Accept(asker.Instance, attempt("q", 1), func() {})
		t.QueueResult(asker, result("q", 1), true)
		t.QueueResult(asker, result("q", 2), true)
		Expect(take()).To(Equal([]uint32{0, 1, 2}))
	})

	It("queues the results of a failed batch once more, and no further", func() {
		// Guards against a daemon that was paused for the time of one batch and waits in vain for its results, and against
		// results that go round for ever when their daemon is lost.
		t.Flush(asker.Instance)
		Expect(take()).To(Equal([]uint32{0}))
		t.SendFailed(taken)
		t.QueueResult(asker, result("p", 9), false)
		Expect(take()).To(Equal([]uint32{0, 9}))
		t.SendFailed(taken)
		Expect(take()).To(Equal([]uint32{9}))
		t.SendFailed(taken)
		t.QueueResult(member("other", 1), result("r", 7), false)
		Expect(take()).To(Equal([]uint32{7}))
	})

	It("holds results back although a batch to their peer was delivered", func() {
		// Guards against the end of each batch letting go what waits.
		t.QueueResult(asker, result("p", 9), true)
		Expect(take()).To(Equal([]uint32{0, 9}))
		t.QueueResult(asker, result("q", 1), true)
		t.Sent(taken)
		t.QueueResult(member("other", 1), result("r", 7), false)
		Expect(take()).To(Equal([]uint32{7}))
	})
})
