package forwarding_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestForwarding(t *testing.T) { suite.Run(t, "./internal/forwarding") }

func attemptID(request model.RequestID, attempt uint32) backend.AttemptID {
	return backend.AttemptID{Request: request, Incarnation: 1, Attempt: attempt}
}

func reply(request model.RequestID, attempt uint32, shard model.ShardName, record byte) forwarding.Result {
	return forwarding.Result{
		ID: attemptID(request, attempt), Limit: 2,
		Result: backend.QueryResult{Reply: backend.QueryReply{
			ID: attemptID(request, attempt), Shard: shard, Message: &backend.MessageReply{
				StatusCode: 200, Signatures: []string{"signed " + string(shard)},
				Body: bytes.Repeat([]byte{record}, gather.RecordBytes),
			},
		}},
	}
}

var _ = Describe("a batch", func() {
	It("stores a message that queries share once and restores it in all of them", func() {
		// Guards against queries that are sent to a server with the wrong message or identity.
		m := &backend.Message{ID: "q1", Target: "/x"}
		b := forwarding.Batch{}
		for i, shard := range []model.ShardName{"s0", "s1"} {
			b.Queries = append(b.Queries, forwarding.Query{Request: backend.QueryRequest{
				ID: attemptID("q1", uint32(i)), Service: model.ServiceName(shard), Shard: shard, Message: m,
			}})
		}
		b.Compact()
		Expect(b.Messages).To(HaveLen(1))
		Expect(b.Queries[1].Request.Message).To(BeNil())
		b.Expand()
		for i, shard := range []model.ServiceName{"s0", "s1"} {
			Expect(b.Queries[i].Request.Message).To(HaveValue(Equal(*m)))
			Expect(b.Queries[i].Request.ID).To(Equal(attemptID("q1", uint32(i))))
			Expect(b.Queries[i].Request.Service).To(Equal(shard))
		}
	})

	It("merges only replies that belong to the same request", func() {
		// Guards against an answer with records or signatures of another request.
		b := forwarding.Batch{Results: []forwarding.Result{
			reply("q1", 1, "s0", 'a'), reply("q2", 1, "s0", 'z'), reply("q1", 2, "s1", 'c'), reply("q1", 3, "s2", 'b'),
		}}
		b.Compact()
		b.Expand()
		m := b.Results[0].Result.Reply.Message
		Expect(m.Shards).To(Equal([]model.ShardName{"s0", "s1", "s2"}))
		Expect(m.Signatures).To(Equal([]string{"signed s0", "signed s1", "signed s2"}))
		Expect(string(m.Body)).To(Equal("cccccccccccccccc" + "bbbbbbbbbbbbbbbb"))
		Expect(b.Results[2].Result.Reply.Message).To(BeIdenticalTo(m))
		Expect(b.Results[1].Result.Reply.Message.Shards).To(Equal([]model.ShardName{"s0"}))
	})

	It("sends of a reply that is not merged only the records that can be part of an answer", func() {
		// Guards against the bytes of records and headers that no answer uses, and against a change of the reply itself, to which
		// other attempts refer.
		r := reply("q1", 2, "s0", 'a')
		r.Limit, r.TrimTo = 0, 2
		original := r.Result.Reply.Message
		original.Header = http.Header{"Server": {"s0"}}
		original.Body = []byte("aaaaaaaaaaaaaaaa" + "cccccccccccccccc" + "bbbbbbbbbbbbbbbb" + "rest")
		b := forwarding.Batch{Results: []forwarding.Result{r, reply("q1", 1, "s1", 'd')}}
		b.Compact()
		b.Expand()
		trimmed := b.Results[0].Result.Reply.Message
		Expect(string(trimmed.Body)).To(Equal("cccccccccccccccc" + "bbbbbbbbbbbbbbbb"))
		Expect(trimmed.Signatures).To(Equal([]string{"signed s0"}))
		Expect(trimmed.Header).To(BeEmpty())
		Expect(trimmed.Shards).To(BeEmpty())
		Expect(b.Results[1].Result.Reply.Message.Shards).To(Equal([]model.ShardName{"s1"}))
		Expect(original.Body).To(HaveLen(3*gather.RecordBytes + 4))
	})

	It("keeps merged replies when it is sent again", func() {
		// Guards against merging the replies of an undelivered batch a second time, which would list shards twice.
		b := forwarding.Batch{Results: []forwarding.Result{reply("q1", 1, "s0", 'a'), reply("q1", 2, "s1", 'c')}}
		b.Compact()
		b.Results = append(b.Results, reply("q1", 3, "s2", 'b'))
		b.Compact()
		b.Expand()
		Expect(b.Results[0].Result.Reply.Message.Shards).To(Equal([]model.ShardName{"s0", "s1"}))
		Expect(b.Results[1].Result.Reply.Message).To(BeIdenticalTo(b.Results[0].Result.Reply.Message))
		Expect(b.Results[2].Result.Reply.Message.Shards).To(Equal([]model.ShardName{"s2"}))
	})

	It("reports a result as lost if its merged reply is in another batch", func() {
		// Guards against a successful result without a reply.
		b := forwarding.Batch{Results: []forwarding.Result{reply("q1", 1, "s0", 'a'), reply("q1", 2, "s1", 'c')}}
		b.Compact()
		b.Results = b.Results[1:]
		b.Expand()
		Expect(b.Results[0].Result.Status).To(Equal(backend.StatusOwnerLost))
	})

	It("records once how long results waited to be sent", func() {
		// Guards against servers that appear slow because their replies wait for the replies of other servers.
		b := forwarding.Batch{Results: []forwarding.Result{reply("q1", 1, "s0", 'a'), {}}}
		now := time.Now()
		b.Results[0].Returned = now
		b.StampDelays(now.Add(6 * time.Millisecond))
		b.StampDelays(now.Add(time.Second))
		Expect(b.Results[0].Delayed).To(Equal(6 * time.Millisecond))
		Expect(b.Results[0].Returned).To(BeZero())
		Expect(b.Results[1].Delayed).To(BeZero())
	})

	It("does not merge failures or replies without a message", func() {
		// Guards against results that lose their status or reply in a merge.
		failed := forwarding.Result{ID: attemptID("q1", 1), Limit: 2, Result: backend.QueryResult{Status: backend.StatusShed}}
		plain := forwarding.Result{ID: attemptID("q1", 2), Result: backend.QueryResult{Reply: backend.QueryReply{Version: 3}}}
		b := forwarding.Batch{Results: []forwarding.Result{failed, plain}}
		b.Compact()
		b.Expand()
		Expect(b.Results[0].Result.Status).To(Equal(backend.StatusShed))
		Expect(b.Results[1].Result.Reply.Version).To(BeEquivalentTo(3))
		Expect(b.Results[1].Merged).To(BeFalse())
	})
})

var _ = DescribeTable("a relayed reply whose status is not a final one is lost",
	// Guards against a status that another daemon passes on and that cannot be written to the caller: net/http panics below 100.
	func(status backend.Status, code int) {
		r := forwarding.Result{Result: backend.QueryResult{
			Status: status, Reply: backend.QueryReply{Message: &backend.MessageReply{StatusCode: code}},
		}}
		r.Normalize(true)
		Expect(r.Result.Status.String()).To(Equal(backend.StatusLost.String()))
		Expect(r.Result.Reply.Message).To(BeNil())
	},
	Entry("zero", backend.StatusOK, 0), Entry("negative", backend.StatusOK, -1), Entry("below the range", backend.StatusOK, 99),
	Entry("informational", backend.StatusOK, 101), Entry("above the range", backend.StatusOK, 600), Entry("a failure", backend.StatusFailed, 0),
)
