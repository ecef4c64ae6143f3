package contract

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// BackendHarness is a backend server and a factory of the clients under test.
type BackendHarness struct {
	// Server is the server that the clients connect to. It has one slot, no queue and the shard "s1" with 50 items.
	Server *backendserver.Server
	// Connect returns a client that holds at most the given number of connections. Clients with the same number may share
	// connections.
	Connect func(connections int) backend.Server
	// CloseIdleConnections closes the clients' idle connections.
	CloseIdleConnections func()

	// attempts is the number of the last attempt.
	attempts atomic.Uint32
}

// BackendConfig is the configuration of BackendHarness.Server.
func BackendConfig() backendserver.Config {
	return backendserver.Config{
		Name: "a", Shard: "s1", Epoch: 3, Version: 7, Slots: 1, Queue: backendserver.NoQueue, Items: 50,
		ServiceTime: time.Millisecond,
	}
}

// blockingSlowFactor is a slow factor that makes a request run until it is cancelled or its deadline passes.
const blockingSlowFactor = 1e9

// Backend defines the specs of backend.Server. open returns the harness of a healthy server and registers its cleanup.
func Backend(open func() *BackendHarness) {
	CheckGoroutineLeaks()
	var h *BackendHarness
	ginkgo.BeforeEach(func() { h = open() })
	backendAnswers(&h)
	backendFaults(&h)
	backendOverload(&h)
	backendReplies(&h)
	backendCancels(&h)
	backendConnections(&h)
}

// queryRequest returns a query that any healthy server answers.
func (h *BackendHarness) queryRequest() backend.QueryRequest {
	n := h.attempts.Add(1)
	return backend.QueryRequest{
		ID:    backend.AttemptID{Request: "d1-5-1", Incarnation: 5, Attempt: n},
		Shard: "s1", Epoch: 3, Text: "tea", Limit: 5, Deadline: time.Now().Add(time.Hour),
	}
}

// executeRequest returns a non-idempotent request with a unique key.
func (h *BackendHarness) executeRequest() backend.ExecuteRequest {
	n := h.attempts.Add(1)
	return backend.ExecuteRequest{
		ID:    backend.AttemptID{Request: "d1-5-2", Incarnation: 5, Attempt: n},
		Shard: "s1", Key: "key-" + strconv.Itoa(int(n)), Body: "body", Deadline: time.Now().Add(time.Hour),
	}
}

// executions returns how many requests the server has started.
func (h *BackendHarness) executions() int { return h.Server.Record().Counts().Started }

// occupySlot starts a query that holds the only slot until release is called.
func (h *BackendHarness) occupySlot() (release func()) {
	ginkgo.GinkgoHelper()
	before := h.Server.Faults()
	h.Server.UpdateFaults(func(f *backendserver.Faults) { f.SlowFactor = blockingSlowFactor })
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan backend.QueryResult, 1)
	// Clients with the same maximum number of connections share them. No other client uses 9, so this query
	// takes no connection from another client.
	client, request := h.Connect(9), h.queryRequest()
	go func() { result <- client.Query(ctx, request) }()
	gomega.Eventually(h.running).WithTimeout(waitTimeout).Should(gomega.Equal(1))
	h.Server.SetFaults(before)
	return func() {
		cancel()
		gomega.Eventually(result).WithTimeout(waitTimeout).Should(gomega.Receive())
		gomega.Eventually(h.running).WithTimeout(waitTimeout).Should(gomega.Equal(0))
	}
}

// running returns how many requests run at the server.
func (h *BackendHarness) running() int { return h.Server.Load().Running }

// content describes the items that a healthy server holds for a query.
func (h *BackendHarness) content() backendserver.Content {
	return backendserver.Content{Shard: "s1", Epoch: 3, Version: 7, Text: "tea", Items: 50}
}

// backendAnswers checks the replies of a server that accepts its requests, and its reports of health and load. It guards against
// a client that alters a reply or a report, or that hides from which shard map and index version a reply comes.
func backendAnswers(h **BackendHarness) {
	ginkgo.It("answers a query with the id of its attempt, the items of the shard, and the epoch and version of the index", func(ctx ginkgo.SpecContext) {
		request := (*h).queryRequest()
		result := (*h).Connect(1).Query(ctx, request)
		gomega.Expect(result.Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect(result.Reply.ID).To(gomega.Equal(request.ID))
		gomega.Expect(result.Reply.Shard).To(gomega.Equal(request.Shard))
		gomega.Expect(result.Reply.Epoch).To(gomega.Equal(model.ShardMapEpoch(3)))
		gomega.Expect(result.Reply.Version).To(gomega.Equal(model.IndexVersion(7)))
		gomega.Expect(result.Reply.Items).To(gomega.Equal(backendserver.Generate((*h).content(), 5)))
	})

	ginkgo.It("runs a non-idempotent request once and returns its result", func(ctx ginkgo.SpecContext) {
		request := (*h).executeRequest()
		result := (*h).Connect(1).Execute(ctx, request)
		gomega.Expect(result.Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect(result.Result).To(gomega.Equal(backendserver.ResultOf(request.Key, "body")))
		commands := (*h).Server.Record().Commands()
		gomega.Expect(commands).To(gomega.HaveLen(1))
		gomega.Expect(commands[0].Start).To(gomega.BeTemporally("~", commands[0].Stop, waitTimeout))
		gomega.Expect((*h).Server.Record().RunsByKey()).To(gomega.Equal(map[string]int{request.Key: 1}))
	})

	ginkgo.DescribeTable("answers from the requested index version, or states which versions the server holds",
		func(ctx ginkgo.SpecContext, want model.IndexVersion, status backend.Status, version model.IndexVersion) {
			(*h).Server.SetVersion(8, 1)
			request := (*h).queryRequest()
			request.WantVersion = want
			result := (*h).Connect(1).Query(ctx, request)
			gomega.Expect(result.Status).To(gomega.Equal(status))
			gomega.Expect(result.Reply.Version).To(gomega.Equal(version))
			retained := result.Retained
			if status == backend.StatusOK {
				retained = result.Reply.Retained
				content := (*h).content()
				content.Version = version
				gomega.Expect(result.Reply.Items).To(gomega.Equal(backendserver.Generate(content, 5)))
			}
			gomega.Expect(retained).To(gomega.Equal([]model.IndexVersion{8, 7}))
		},
		ginkgo.Entry("the current one", model.IndexVersion(0), backend.StatusOK, model.IndexVersion(8)),
		ginkgo.Entry("a retained one", model.IndexVersion(7), backend.StatusOK, model.IndexVersion(7)),
		ginkgo.Entry("one that is no longer held", model.IndexVersion(6), backend.StatusVersionNotHeld, model.IndexVersion(0)),
	)

	ginkgo.DescribeTable("states the shard map epoch of its answer after a repartition",
		func(ctx ginkgo.SpecContext, retain int, want model.ShardMapEpoch) {
			(*h).Server.Repartition("s1", 4, retain)
			result := (*h).Connect(1).Query(ctx, (*h).queryRequest())
			gomega.Expect(result.Status).To(gomega.Equal(backend.StatusOK))
			gomega.Expect(result.Reply.Epoch).To(gomega.Equal(want))
		},
		ginkgo.Entry("the earlier shard map is retained", 1, model.ShardMapEpoch(3)),
		ginkgo.Entry("only the new shard map is held", 0, model.ShardMapEpoch(4)),
	)

	ginkgo.It("returns health and load as the server reports them, even when the reports are wrong", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		(*h).Server.SetFaults(backendserver.Faults{Draining: true})
		gomega.Expect(client.Health(ctx)).To(gomega.Equal(backend.Health{Serving: true, Draining: true}))
		gomega.Expect(client.Load(ctx)).To(gomega.Equal(backend.Load{Draining: true}))
		(*h).Server.SetFaults(backendserver.Faults{Health: &backend.Health{}, Load: &backend.Load{Running: 99}})
		gomega.Expect(client.Health(ctx)).To(gomega.Equal(backend.Health{}))
		gomega.Expect(client.Load(ctx)).To(gomega.Equal(backend.Load{Running: 99}))
		(*h).Server.Crash()
		_, err := client.Health(ctx)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
}
