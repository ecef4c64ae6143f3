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
	requester := member("requester", 1)
	attempt := func(request model.RequestID, n uint32) backend.AttemptID {
		return backend.AttemptID{Request: request, Incarnation: 1, Attempt: n}
	}
	result := func(request model.RequestID, n uint32) forwarding.Result {
		return forwarding.Result{ID: attempt(request, n)}
	}
	var t *tables.Forwards
	var batch tables.OutboundBatch
	// take stores the next batch in batch and returns the attempt numbers of its results.
	take := func() []uint32 {
		var ok bool
		batch, ok = t.Take()
		Expect(ok).To(BeTrue())
		var out []uint32
		for _, r := range batch.Batch.Results {
			out = append(out, r.ID.Attempt)
		}
		return out
	}

	BeforeEach(func() {
		t = tables.NewForwards()
		for n := range uint32(3) {
			t.Accept(requester.Instance, attempt("q", n), func() {})
		}
		// The result of attempt 0 is held back for those of the other attempts of its query.
		Expect(t.QueueResult(requester, result("q", 0), true)).To(BeTrue())
	})

	// Guards against a result that is held back for longer than it may wait, or although there is something to send it with.
	DescribeTable("sends a result that was held back for others of its query",
		func(event func(), want []uint32) {
			event()
			Expect(take()).To(Equal(want))
			Expect(t.DrainInbound()).NotTo(BeClosed())
		},
		Entry("when Flush is called", func() { t.Flush(requester.Instance) }, []uint32{0}),
		Entry("with a result that may not wait", func() { t.QueueResult(requester, result("q", 1), false) }, []uint32{0, 1}),
		Entry("with a result of another query that is complete", func() { t.QueueResult(requester, result("p", 9), true) }, []uint32{0, 9}),
		Entry("when the table is closed", func() { t.Close() }, []uint32{0}),
	)

	// Guards against a daemon that ends before its results were delivered, and against one scheduled Flush for each result.
	It("sends all results of a query with the last one and requests one Flush", func() {
		Expect(t.QueueResult(requester, result("q", 1), true)).To(BeFalse())
		Expect(t.QueueResult(requester, result("q", 2), true)).To(BeFalse())
		Expect(take()).To(Equal([]uint32{0, 1, 2}))
		drained := t.DrainInbound()
		Expect(drained).NotTo(BeClosed())
		t.Sent(batch)
		Expect(drained).To(BeClosed())
	})

	It("counts a sub-request that was delivered twice only once", func() {
		// Guards against results that wait for a sub-request that has ended.
		t.Accept(requester.Instance, attempt("q", 1), func() {})
		t.QueueResult(requester, result("q", 1), true)
		t.QueueResult(requester, result("q", 2), true)
		Expect(take()).To(Equal([]uint32{0, 1, 2}))
	})

	It("queues the results of a failed batch only once more", func() {
		// Guards against a daemon that was paused during one delivery and never receives its results, and against results
		// that are queued again without end after their daemon was lost.
		t.Flush(requester.Instance)
		Expect(take()).To(Equal([]uint32{0}))
		t.SendFailed(batch)
		t.QueueResult(requester, result("p", 9), false)
		Expect(take()).To(Equal([]uint32{0, 9}))
		t.SendFailed(batch)
		Expect(take()).To(Equal([]uint32{9}))
		t.SendFailed(batch)
		t.QueueResult(member("other", 1), result("r", 7), false)
		Expect(take()).To(Equal([]uint32{7}))
	})

	It("continues to hold results back after a batch to their peer was delivered", func() {
		// Guards against held-back results that are sent early because the delivery of another batch ended.
		t.QueueResult(requester, result("p", 9), true)
		Expect(take()).To(Equal([]uint32{0, 9}))
		t.QueueResult(requester, result("q", 1), true)
		t.Sent(batch)
		t.QueueResult(member("other", 1), result("r", 7), false)
		Expect(take()).To(Equal([]uint32{7}))
	})
})
