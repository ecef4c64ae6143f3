package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

// anyInt draws a number that may be out of every range.
func anyInt(t *rapid.T, label string) int {
	return rapid.SampledFrom([]int{0, 1, 2, 3, -1, -1 << 40, 1 << 20, 1 << 62}).Draw(t, label)
}

func anyMessage(t *rapid.T) *backend.Message {
	return rapid.SampledFrom([]*backend.Message{nil, {}, {ID: "r", Method: "GET", Target: "/x"}}).Draw(t, "message")
}

func anyReply(t *rapid.T) *backend.MessageReply {
	return rapid.SampledFrom([]*backend.MessageReply{
		nil, {}, {StatusCode: -1, Signatures: []string{""}}, {StatusCode: 200, Signatures: []string{"p"}, Body: []byte("x")},
		{StatusCode: 200, Signatures: []string{"p"}, Shards: []model.ShardName{"", "s", "none"}},
	}).Draw(t, "reply")
}

func anyID(t *rapid.T) backend.AttemptID {
	return backend.AttemptID{Request: "q", Incarnation: 1, Attempt: uint32(rapid.IntRange(0, 3).Draw(t, "attempt"))}
}

// anyBatch draws a batch that a daemon of another version, or a damaged connection, could send.
func anyBatch(t *rapid.T) forwarding.Batch {
	b := forwarding.Batch{From: model.Member{
		Instance: "requester", Zone: model.AvailabilityZone(rapid.SampledFrom([]string{"", "z", "elsewhere"}).Draw(t, "zone")),
	}}
	for range rapid.IntRange(0, 2).Draw(t, "messages") {
		if m := anyMessage(t); m != nil {
			b.Messages = append(b.Messages, *m)
		}
	}
	for range rapid.IntRange(0, 3).Draw(t, "queries") {
		b.Queries = append(b.Queries, forwarding.Query{
			Server: model.ServerName(rapid.SampledFrom([]string{"", "none", string(serverName)}).Draw(t, "server")),
			Rank:   model.Rank(anyInt(t, "rank")), Left: time.Duration(anyInt(t, "left")), Message: anyInt(t, "position"),
			BounceAfter: time.Duration(anyInt(t, "bounce")), MergeWait: time.Duration(anyInt(t, "merge")),
			Charge:  rapid.Float64().Draw(t, "charge"),
			Request: backend.QueryRequest{ID: anyID(t), Limit: anyInt(t, "limit"), Message: anyMessage(t)},
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "results") {
		b.Results = append(b.Results, forwarding.Result{
			ID: anyID(t), Merged: rapid.Bool().Draw(t, "merged"), Waited: time.Duration(anyInt(t, "waited")),
			Delayed: time.Duration(anyInt(t, "delayed")), Limit: anyInt(t, "limit"),
			Result: backend.QueryResult{
				Status: backend.Status(anyInt(t, "status")), RetryAfter: time.Duration(anyInt(t, "hint")),
				Reply: backend.QueryReply{Message: anyReply(t), Load: backend.Load{Running: anyInt(t, "running")}},
			},
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "cancels") {
		b.Cancels = append(b.Cancels, anyID(t))
	}
	return b
}

var _ = It("a daemon survives every batch and goes on serving", func() {
	// Guards against one malformed message that ends the whole process.
	requester, owner := newPair(fakebackend.Script{})
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		q := requester.newAttempt(1, model.RankUrgent, func(backend.QueryResult) {})
		q.Request.ID = anyID(t)
		requester.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
		for range rapid.IntRange(1, 3).Draw(t, "batches") {
			requester.forwarding.Receive(anyBatch(t))
			owner.forwarding.Receive(anyBatch(t))
		}
	})
	results := make(chan backend.QueryResult, 1)
	requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
	var r backend.QueryResult
	Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
	Expect(r.Status).To(Equal(backend.StatusOK))
})
