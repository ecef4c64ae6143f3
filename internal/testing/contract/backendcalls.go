package contract

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// backendReplies checks that no reply is taken for that of another request.
func backendReplies(h **BackendHarness) {
	ginkgo.It("closes the connection of a crossed reply and goes on with another", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		gomega.Expect(client.Query(ctx, (*h).request()).Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect((*h).Server.Connections().Accepted).To(gomega.Equal(1))
		(*h).Server.SetFaults(backendserver.Faults{CrossedReplies: 1})
		gomega.Expect(client.Query(ctx, (*h).request()).Status).To(gomega.Equal(backend.StatusMismatched))
		(*h).Server.SetFaults(backendserver.Faults{})
		gomega.Expect(client.Query(ctx, (*h).request()).Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect((*h).Server.Connections().Accepted).To(gomega.Equal(2))
		gomega.Eventually(func() int { return (*h).Server.Connections().Open }).WithTimeout(settle).Should(gomega.Equal(1))
	})

	ginkgo.It("drops a duplicated reply that arrives in place of the next one", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		(*h).Server.SetFaults(backendserver.Faults{DuplicatedReplies: 1})
		gomega.Expect(client.Query(ctx, (*h).request()).Status).To(gomega.Equal(backend.StatusOK))
		(*h).Server.SetFaults(backendserver.Faults{})
		gomega.Expect(client.Execute(ctx, (*h).command()).Status).To(gomega.Equal(backend.StatusMismatched))
		gomega.Expect(client.Query(ctx, (*h).request()).Status).To(gomega.Equal(backend.StatusOK))
	})

	ginkgo.It("does not take a late reply for that of the next request", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(1)
		(*h).Server.SetFaults(backendserver.Faults{LateReplies: 1, LateBy: settle})
		impatient, giveUp := context.WithCancel(ctx)
		ended := make(chan backend.QueryResult, 1)
		late := (*h).request()
		go func() { ended <- client.Query(impatient, late) }()
		completed := func() int { return (*h).Server.Record().Counts().ByEnd[backendserver.EndCompleted] }
		gomega.Eventually(completed).WithTimeout(settle).Should(gomega.Equal(1))
		giveUp()
		var result backend.QueryResult
		gomega.Eventually(ended).WithTimeout(settle).Should(gomega.Receive(&result))
		gomega.Expect(result.Status).To(gomega.Equal(backend.StatusCancelled))
		(*h).Server.SetFaults(backendserver.Faults{})
		request := (*h).request()
		request.Text = "coffee"
		next := client.Query(ctx, request)
		gomega.Expect(next.Status).To(gomega.Equal(backend.StatusOK))
		content := (*h).content()
		content.Text = "coffee"
		gomega.Expect(next.Reply.Items).To(gomega.Equal(backendserver.Generate(content, 5)))
	})
}

// backendCancels checks that a cancelled attempt frees its slot.
func backendCancels(h **BackendHarness) {
	start := func(ctx context.Context) (backend.AttemptID, <-chan backend.QueryResult) {
		ginkgo.GinkgoHelper()
		(*h).Server.SetFaults(backendserver.Faults{SlowFactor: endless})
		client, request := (*h).Connect(1), (*h).request()
		ended := make(chan backend.QueryResult, 1)
		go func() { ended <- client.Query(ctx, request) }()
		gomega.Eventually((*h).running).WithTimeout(settle).Should(gomega.Equal(1))
		return request.ID, ended
	}
	expectFreed := func(ended <-chan backend.QueryResult, end backendserver.End) {
		ginkgo.GinkgoHelper()
		var result backend.QueryResult
		gomega.Eventually(ended).WithTimeout(settle).Should(gomega.Receive(&result))
		gomega.Expect(result.Status).To(gomega.Equal(backend.StatusCancelled))
		gomega.Eventually((*h).running).WithTimeout(settle).Should(gomega.Equal(0))
		gomega.Eventually(func() int { return (*h).Server.Record().Counts().ByEnd[end] }).WithTimeout(settle).Should(gomega.Equal(1))
	}

	ginkgo.It("stops a running attempt by a cancel request on another connection", func(ctx ginkgo.SpecContext) {
		id, ended := start(ctx)
		gomega.Expect((*h).Connect(2).Cancel(ctx, id)).To(gomega.BeTrue())
		expectFreed(ended, backendserver.EndCancelled)
	})

	ginkgo.It("stops a running attempt by closing its connection", func(ctx ginkgo.SpecContext) {
		impatient, giveUp := context.WithCancel(ctx)
		_, ended := start(impatient)
		giveUp()
		expectFreed(ended, backendserver.EndCut)
	})

	ginkgo.It("reports that an unknown attempt was not cancelled", func(ctx ginkgo.SpecContext) {
		gomega.Expect((*h).Connect(1).Cancel(ctx, backend.AttemptID{Request: "d1-5-9"})).To(gomega.BeFalse())
	})
}

func backendConnections(h **BackendHarness) {
	ginkgo.It("opens a connection ahead of use, which the next request takes", func(ctx ginkgo.SpecContext) {
		client := (*h).Connect(3)
		gomega.Expect(client.Warm(ctx)).To(gomega.Succeed())
		gomega.Expect((*h).Server.Connections().Open).To(gomega.Equal(1))
		gomega.Expect(client.Query(ctx, (*h).request()).Status).To(gomega.Equal(backend.StatusOK))
		gomega.Expect((*h).Server.Connections().Accepted).To(gomega.Equal(1))
	})

	ginkgo.It("never holds more connections than its number, however many requests are in flight", func(ctx ginkgo.SpecContext) {
		const requests = 16
		client := (*h).Connect(2)
		ended := make(chan backend.Status, requests)
		for range requests {
			request := (*h).request()
			go func() { ended <- client.Query(ctx, request).Status }()
		}
		for range requests {
			gomega.Expect(<-ended).To(gomega.BeElementOf(backend.StatusOK, backend.StatusShed))
		}
		gomega.Expect((*h).Server.Connections().Peak).To(gomega.BeNumerically("<=", 2))
	})

	ginkgo.It("fails to warm a server that refuses connections", func(ctx ginkgo.SpecContext) {
		(*h).Server.Crash()
		gomega.Expect((*h).Connect(2).Warm(ctx)).NotTo(gomega.Succeed())
	})
}
