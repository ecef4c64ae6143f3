package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

var _ = Describe("a server that only its owner may send to", func() {
	It("gets an attempt through its owner also if another daemon is to be charged for it", func() {
		// Guards against a daemon that connects to the server because it covers the attempt by its budget.
		requester, owner := newPair(fakebackend.Script{})
		s := requester.Servers.Get(serverName)
		s.SetOwnerOnly(true)
		charged, ok := requester.DaemonToCharge(s, "r", nil)
		Expect(ok).To(BeTrue())
		Expect(charged.Instance).To(Equal(owner.self.Instance))
		results := make(chan backend.QueryResult, 1)
		q := requester.newAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		q.ForwardTo = model.Member{Instance: "third", Zone: "z", Address: "third"}
		requester.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(HaveField("Status", backend.StatusOK)))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
	})

	It("keeps no idle connections of a daemon that has ceased to own it", func() {
		// Guards against idle connections that take the place of those of the new owner.
		requester, owner := newPair(fakebackend.Script{})
		owner.Servers.Get(serverName).SetOwnerOnly(true)
		results := make(chan backend.QueryResult, 1)
		owner.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive())
		owner.owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z": {requester.self}}, time.Now())
		Eventually(func() int { return owner.connector.Closed(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
	})
})
