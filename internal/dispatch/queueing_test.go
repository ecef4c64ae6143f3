package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

// Guards against attempts that wait for capacity until their deadline although they will not be sent.
var _ = DescribeTable("attempts that wait for capacity, and later ones, end at once and unsent when",
	func(end func(n *node)) {
		const attempts = 40
		n := newNode("owner", fakebackend.Script{Delay: time.Minute})
		n.owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z": {n.self}}, time.Now())
		DeferCleanup(n.Close)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server := n.Servers.Get(serverName)
		results := make(chan backend.Status, 2*attempts)
		start := func(first uint32) {
			for k := range uint32(attempts) {
				q := n.newAttempt(first+k, model.RankUrgent, func(r backend.QueryResult) { results <- r.Status })
				q.Server = server
				n.StartQueries(ctx, []*dispatch.QueryAttempt{q}, time.Now())
			}
		}
		start(1)
		Eventually(func() int { return n.connector.Queries(serverName) }).Should(BeNumerically(">", 0))
		time.Sleep(50 * time.Millisecond)
		sent := n.connector.Queries(serverName)
		Expect(sent).To(BeNumerically("<", attempts), "some attempts wait")
		end(n)
		start(1 + attempts)
		for range 2*attempts - sent {
			Eventually(results).WithTimeout(2 * time.Second).Should(Receive(Equal(backend.StatusBusy)))
		}
		Expect(n.connector.Queries(serverName)).To(Equal(sent))
	},
	Entry("the daemon drains", func(n *node) { n.Drain() }),
	Entry("the record of the server is removed", func(n *node) { n.Servers.Remove(serverName) }),
	Entry("the server is leaving", func(n *node) { n.Servers.Get(serverName).MarkLeaving(time.Now()) }),
)

// Guards against a non-idempotent request that is sent after the server left or the daemon drained, since its probe took so long.
var _ = DescribeTable("a non-idempotent probe is not sent when, during its health request,",
	func(end func(n *node)) {
		n := newNode("owner", fakebackend.Script{Delay: 200 * time.Millisecond})
		DeferCleanup(n.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a := &dispatch.ExecuteAttempt{
			Server: n.Servers.Get(serverName), Probe: true, MaySend: func() bool { return true },
			Request: backend.ExecuteRequest{Shard: "s", Message: &backend.Message{ID: "id"}},
		}
		outcome := make(chan dispatch.ExecuteOutcome, 1)
		go func() { outcome <- n.Execute(ctx, a) }()
		time.Sleep(50 * time.Millisecond)
		end(n)
		var got dispatch.ExecuteOutcome
		Eventually(outcome).WithTimeout(2 * time.Second).Should(Receive(&got))
		Expect(got.Result.Status).To(Equal(backend.StatusBusy))
		Expect(n.connector.Queries(serverName)).To(BeZero())
	},
	Entry("the daemon drains", func(n *node) { n.Drain() }),
	Entry("the server is leaving", func(n *node) { n.Servers.Get(serverName).MarkLeaving(time.Now()) }),
)

// Guards against a restarted daemon that ends when a sub-request of another daemon ends before its first Topology is installed.
var _ = It("a daemon takes sub-requests of others only once its first Topology is installed", func() {
	requester, owner := newPair(fakebackend.Script{Status: backend.StatusShed})
	starting := newStartingNode("owner", fakebackend.Script{Status: backend.StatusShed})
	DeferCleanup(starting.Close)
	requester.peer, starting.peer = starting, requester
	results := make(chan backend.Status, 1)
	requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r.Status })
	Eventually(results).WithTimeout(5 * time.Second).Should(Receive(Equal(backend.StatusBusy)))
	Expect(starting.connector.Queries(serverName)).To(BeZero())
	// The requester sends its attempts itself for a while.
	requester.startAttempt(2, model.RankUrgent, func(r backend.QueryResult) { results <- r.Status })
	Eventually(results).WithTimeout(5 * time.Second).Should(Receive(Equal(backend.StatusShed)))
	Expect(requester.connector.Queries(serverName)).To(Equal(1))
	starting.Config.Install(owner.Config.Current())
	receipt := starting.forwarding.Receive(forwarding.Batch{From: requester.self, Queries: []forwarding.Query{{
		Server: serverName, Left: time.Second, Request: requester.newAttempt(3, model.RankUrgent, nil).Request,
	}}})
	Expect(receipt.Starting).To(BeFalse())
	Eventually(func() int { return starting.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
})
