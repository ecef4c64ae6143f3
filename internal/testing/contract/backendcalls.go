package contract

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// backendReplies checks that a client never takes a reply for that of another request. A crossed reply is one to another
// attempt.
func backendReplies(h **BackendHarness) {
	ginkgo.It("closes a connection that delivered a crossed reply, and opens another", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		gomega.Expect(client.Query(ctx, (*h).queryRequest()).Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect((*h).Server.Connections().Accepted).To(gomega.Equal(1))
		(*h).Server.SetFaults(backendserver.Faults{CrossedReplies: 1})
		gomega.Expect(client.Query(ctx, (*h).queryRequest()).Status).To(gomega.Equal(backend.StatusMismatched))
		(*h).Server.SetFaults(backendserver.Faults{})
		gomega.Expect(client.Query(ctx, (*h).queryRequest()).Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect((*h).Server.Connections().Accepted).To(gomega.Equal(2))
		gomega.Eventually(func() int { return (*h).Server.Connections().Open }).WithTimeout(waitTimeout).Should(gomega.Equal(1))
	})

	ginkgo.It("rejects a duplicated reply that arrives in place of the reply to the next request", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		(*h).Server.SetFaults(backendserver.Faults{DuplicatedReplies: 1})
		gomega.Expect(client.Query(ctx, (*h).queryRequest()).Status).To(gomega.Equal(backend.StatusOK))
		(*h).Server.SetFaults(backendserver.Faults{})
		gomega.Expect(client.Execute(ctx, (*h).executeRequest()).Status).To(gomega.Equal(backend.StatusMismatched))
		gomega.Expect(client.Query(ctx, (*h).queryRequest()).Status).To(gomega.Equal(backend.StatusOK))
	})

	ginkgo.It("does not take a late reply for the reply to the next request", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		(*h).Server.SetFaults(backendserver.Faults{LateReplies: 1, LateBy: waitTimeout})
		callerCtx, cancel := context.WithCancel(ctx)
		result := make(chan backend.QueryResult, 1)
		late := (*h).queryRequest()
		go func() { result <- client.Query(callerCtx, late) }()
		completed := func() int { return (*h).Server.Record().Counts().ByEnd[backendserver.EndCompleted] }
		gomega.Eventually(completed).WithTimeout(waitTimeout).Should(gomega.Equal(1))
		cancel()
		var first backend.QueryResult
		gomega.Eventually(result).WithTimeout(waitTimeout).Should(gomega.Receive(&first))
		gomega.Expect(first.Status).To(gomega.Equal(backend.StatusCancelled))
		(*h).Server.SetFaults(backendserver.Faults{})
		request := (*h).queryRequest()
		request.Text = "coffee"
		next := client.Query(ctx, request)
		gomega.Expect(next.Status).To(gomega.Equal(backend.StatusOK))
		content := (*h).content()
		content.Text = "coffee"
		gomega.Expect(next.Reply.Items).To(gomega.Equal(backendserver.Generate(content, 5)))
	})
}

// backendCancels checks that the cancellation of an attempt frees its slot. It guards against abandoned attempts that keep the
// slots of a server occupied.
func backendCancels(h **BackendHarness) {
	start := func(ctx context.Context) (backend.AttemptID, <-chan backend.QueryResult) {
		ginkgo.GinkgoHelper()
		(*h).Server.SetFaults(backendserver.Faults{SlowFactor: blockingSlowFactor})
		client, request := (*h).Connect(1), (*h).queryRequest()
		result := make(chan backend.QueryResult, 1)
		go func() { result <- client.Query(ctx, request) }()
		gomega.Eventually((*h).running).WithTimeout(waitTimeout).Should(gomega.Equal(1))
		return request.ID, result
	}
	expectSlotFreed := func(result <-chan backend.QueryResult, end backendserver.End) {
		ginkgo.GinkgoHelper()
		var r backend.QueryResult
		gomega.Eventually(result).WithTimeout(waitTimeout).Should(gomega.Receive(&r))
		gomega.Expect(r.Status).To(gomega.Equal(backend.StatusCancelled))
		gomega.Eventually((*h).running).WithTimeout(waitTimeout).Should(gomega.Equal(0))
		gomega.Eventually(func() int { return (*h).Server.Record().Counts().ByEnd[end] }).WithTimeout(waitTimeout).Should(gomega.Equal(1))
	}

	ginkgo.It("stops a running attempt with a cancel request on another connection", func(ctx ginkgo.SpecContext) {
		id, result := start(ctx)
		gomega.Expect((*h).Connect(2).Cancel(ctx, id)).To(gomega.BeTrue())
		expectSlotFreed(result, backendserver.EndCancelled)
	})

	ginkgo.It("stops a running attempt by closing its connection", func(ctx ginkgo.SpecContext) {
		callerCtx, cancel := context.WithCancel(ctx)
		_, result := start(callerCtx)
		cancel()
		expectSlotFreed(result, backendserver.EndCut)
	})

	ginkgo.It("reports that an unknown attempt was not cancelled", func(ctx ginkgo.SpecContext) {
		gomega.Expect((*h).Connect(1).Cancel(ctx, backend.AttemptID{Request: "d1-5-9"})).To(gomega.BeFalse())
	})
}

// backendConnections checks how many connections a client opens, and when. It guards against exceeding the number of connections
// of a server, which resets those beyond it.
func backendConnections(h **BackendHarness) {
	ginkgo.It("opens a connection in advance, which the next request uses", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(3)
		gomega.Expect(client.Warm(ctx)).To(gomega.Succeed())
		gomega.Expect((*h).Server.Connections().Open).To(gomega.Equal(1))
		gomega.Expect(client.Query(ctx, (*h).queryRequest()).Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect((*h).Server.Connections().Accepted).To(gomega.Equal(1))
	})

	ginkgo.It("never holds more connections than its limit, however many requests are in flight", func(ctx ginkgo.SpecContext) {
		const requests = 16
		client := (*h).Connect(2)
		statuses := make(chan backend.Status, requests)
		for range requests {
			request := (*h).queryRequest()
			go func() { statuses <- client.Query(ctx, request).Status }()
		}
		for range requests {
			gomega.Expect(<-statuses).To(gomega.BeElementOf(backend.StatusOK, backend.StatusShed))
		}
		gomega.Expect((*h).Server.Connections().Peak).To(gomega.BeNumerically("<=", 2))
	})

	ginkgo.It("fails to open a connection in advance to a server that refuses connections", func(ctx ginkgo.SpecContext) {
		(*h).Server.Crash()
		gomega.Expect((*h).Connect(2).Warm(ctx)).NotTo(gomega.Succeed())
	})
}
