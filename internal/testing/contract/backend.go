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

// BackendHarness is a client of one backend server under test.
type BackendHarness struct {
	// Server is the server that the clients speak to. It has one slot, no queue and the shard "s1" with 50 items.
	Server *backendserver.Server
	// Connect returns a client that holds at most that many connections.
	Connect func(connections int) backend.Server
	// CloseIdleConnections closes the clients' idle connections.
	CloseIdleConnections func()

	attempts atomic.Uint32
}

// BackendConfig is the configuration of BackendHarness.Server.
func BackendConfig() backendserver.Config {
	return backendserver.Config{
		Name: "a", Shard: "s1", Epoch: 3, Version: 7, Slots: 1, Queue: backendserver.NoQueue, Items: 50,
		ServiceTime: time.Millisecond,
	}
}

// endless as the slow factor makes a request run until it is stopped.
const endless = 1e9

// Backend describes backend.Server. open returns a healthy server and registers its cleanup.
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

// request returns a query that any healthy server answers.
func (h *BackendHarness) request() backend.QueryRequest {
	n := h.attempts.Add(1)
	return backend.QueryRequest{
		ID:    backend.AttemptID{Request: "d1-5-1", Incarnation: 5, Attempt: n},
		Shard: "s1", Epoch: 3, Text: "tea", Limit: 5, Deadline: time.Now().Add(time.Hour),
	}
}

// command returns a non-idempotent request with a key of its own.
func (h *BackendHarness) command() backend.ExecuteRequest {
	n := h.attempts.Add(1)
	return backend.ExecuteRequest{
		ID:    backend.AttemptID{Request: "d1-5-2", Incarnation: 5, Attempt: n},
		Shard: "s1", Key: "key-" + strconv.Itoa(int(n)), Body: "body", Deadline: time.Now().Add(time.Hour),
	}
}

func (h *BackendHarness) started() int { return h.Server.Record().Counts().Started }

// occupy starts a query that runs until the returned function is called.
func (h *BackendHarness) occupy() (free func()) {
	ginkgo.GinkgoHelper()
	before := h.Server.Faults()
	h.Server.UpdateFaults(func(f *backendserver.Faults) { f.SlowFactor = endless })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan backend.QueryResult, 1)
	// A number of its own gives the client a connection that no other client waits for.
	client, request := h.Connect(9), h.request()
	go func() { ended <- client.Query(ctx, request) }()
	gomega.Eventually(h.running).WithTimeout(settle).Should(gomega.Equal(1))
	h.Server.SetFaults(before)
	return func() {
		cancel()
		gomega.Eventually(ended).WithTimeout(settle).Should(gomega.Receive())
		gomega.Eventually(h.running).WithTimeout(settle).Should(gomega.Equal(0))
	}
}

func (h *BackendHarness) running() int { return h.Server.Load().Running }

func (h *BackendHarness) content() backendserver.Content {
	return backendserver.Content{Shard: "s1", Epoch: 3, Version: 7, Text: "tea", Items: 50}
}

func backendAnswers(h **BackendHarness) {
	ginkgo.It("answers a query with its own id, the shard's items and what the server holds", func(ctx ginkgo.SpecContext) {
		request := (*h).request()
		result := (*h).Connect(1).Query(ctx, request)
		gomega.Expect(result.Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect(result.Reply.ID).To(gomega.Equal(request.ID))
		gomega.Expect(result.Reply.Shard).To(gomega.Equal(request.Shard))
		gomega.Expect(result.Reply.Epoch).To(gomega.Equal(model.ShardMapEpoch(3)))
		gomega.Expect(result.Reply.Version).To(gomega.Equal(model.IndexVersion(7)))
		gomega.Expect(result.Reply.Items).To(gomega.Equal(backendserver.Generate((*h).content(), 5)))
	})

	ginkgo.It("runs a non-idempotent request once and returns its result", func(ctx ginkgo.SpecContext) {
		request := (*h).command()
		result := (*h).Connect(1).Execute(ctx, request)
		gomega.Expect(result.Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect(result.Result).To(gomega.Equal(backendserver.ResultOf(request.Key, "body")))
		commands := (*h).Server.Record().Commands()
		gomega.Expect(commands).To(gomega.HaveLen(1))
		gomega.Expect(commands[0].Start).To(gomega.BeTemporally("~", commands[0].Stop, settle))
		gomega.Expect((*h).Server.Record().RunsByKey()).To(gomega.Equal(map[string]int{request.Key: 1}))
	})

	ginkgo.DescribeTable("answers from the wanted version, or names the versions that are held",
		func(ctx ginkgo.SpecContext, want model.IndexVersion, status backend.Status, version model.IndexVersion) {
			(*h).Server.SetVersion(8, 1)
			request := (*h).request()
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
		ginkgo.Entry("one that is gone", model.IndexVersion(6), backend.StatusVersionNotHeld, model.IndexVersion(0)),
	)

	ginkgo.DescribeTable("states the epoch that it answered from after a repartition",
		func(ctx ginkgo.SpecContext, retain int, want model.ShardMapEpoch) {
			(*h).Server.Repartition("s1", 4, retain)
			result := (*h).Connect(1).Query(ctx, (*h).request())
			gomega.Expect(result.Status).To(gomega.Equal(backend.StatusOK))
			gomega.Expect(result.Reply.Epoch).To(gomega.Equal(want))
		},
		ginkgo.Entry("the earlier shard map is retained", 1, model.ShardMapEpoch(3)),
		ginkgo.Entry("only the new shard map is held", 0, model.ShardMapEpoch(4)),
	)

	ginkgo.It("reports health and load, also when they are false", func(ctx ginkgo.SpecContext) {
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
