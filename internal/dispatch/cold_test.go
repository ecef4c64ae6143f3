package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/coldstart"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

// limitCold makes the server of the nodes one that tolerates few requests while it is cold. Its owner's burst is 3 tokens.
func limitCold(nodes ...*node) {
	for _, n := range nodes {
		s := n.Servers.Get(serverName)
		spec, server := *s.Spec().ServerSpec, *s.Spec()
		spec.ColdRate = 24
		server.ServerSpec = &spec
		s.SetSpec(&server)
		s.SetColdAllowance(coldstart.Allowance{Factor: 1})
	}
}

// statusOf sends an attempt from a node and returns its status.
func (n *node) statusOf(attempt uint32, rank model.Rank) backend.Status {
	results := make(chan backend.QueryResult, 1)
	n.startAttempt(attempt, rank, func(r backend.QueryResult) { results <- r })
	var r backend.QueryResult
	Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
	return r.Status
}

var _ = Describe("a cold server with a limit", func() {
	It("gets the attempts of other daemons through its owner, as long as that has tokens", func() {
		// Guards against daemons that each grant themselves the whole rate, and against an attempt without a token that costs one.
		requester, owner := newPair(fakebackend.Script{})
		limitCold(requester, owner)
		requester.Servers.Get(serverName).SetCold(time.Now().Add(time.Minute))
		owner.Servers.Get(serverName).SetCold(time.Now().Add(time.Minute))
		Expect(requester.statusOf(1, model.RankUrgent)).To(Equal(backend.StatusOK))
		second := requester.statusOf(2, model.RankUrgent)
		Expect(second).To(Equal(backend.StatusBusy))
		Expect(second.ProvablyNotRun()).To(BeTrue())
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
		Expect(requester.connector.Queries(serverName)).To(BeZero())
	})

	It("gets nothing from a daemon that does not own it and was asked to send", func() {
		// Guards against a third daemon with tokens of its own, since only two may grant any.
		requester, owner := newPair(fakebackend.Script{})
		limitCold(requester, owner)
		owner.Servers.Get(serverName).SetCold(time.Now().Add(time.Minute))
		owner.owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z": {requester.self}}, time.Now())
		Expect(requester.statusOf(1, model.RankUrgent)).To(Equal(backend.StatusBusy))
		Expect(owner.connector.Queries(serverName)).To(BeZero())
	})

	It("gets attempts from two daemons at most, whoever they reach", func() {
		// Guards against a daemon for each part of a divided network that grants tokens.
		members := []model.Member{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}, {Instance: "d"}}
		s := newNode("n", fakebackend.Script{}).Servers.Get(serverName)
		granters := 0
		for _, self := range members {
			owners := tables.NewOwners()
			owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z": members}, time.Now())
			for _, other := range members {
				if other.Instance != self.Instance {
					owners.Avoid(other, time.Now().Add(time.Minute), time.Now())
				}
			}
			if s.MayGrant(owners.View(), self.Instance) {
				granters++
			}
		}
		Expect(granters).To(Equal(2))
	})

	It("gets urgent attempts first", func() {
		// Guards against urgent requests that are refused because others took all tokens.
		_, owner := newPair(fakebackend.Script{})
		limitCold(owner)
		s := owner.Servers.Get(serverName)
		s.SetCold(time.Now().Add(time.Minute))
		Expect(s.TakeColdToken(model.RankUrgent, time.Now())).To(BeTrue())
		// The next token accrues after 1/9 s, and one beside the reserved third after 2/9 s.
		time.Sleep(150 * time.Millisecond)
		Expect(owner.statusOf(1, model.RankDeferred)).To(Equal(backend.StatusBusy))
		Expect(owner.statusOf(2, model.RankUrgent)).To(Equal(backend.StatusOK))
	})

	It("is limited while it is cold only", func() {
		// Guards against a limit that stays, or does not come back, when a server turns warm and cold again.
		requester, owner := newPair(fakebackend.Script{})
		limitCold(requester, owner)
		s := requester.Servers.Get(serverName)
		for range 2 {
			Expect(s.OwnerOnly(time.Now())).To(BeFalse())
			s.SetCold(time.Now().Add(50 * time.Millisecond))
			Expect(s.OwnerOnly(time.Now())).To(BeTrue())
			Eventually(func() bool { return s.OwnerOnly(time.Now()) }).Should(BeFalse())
		}
	})

	It("turns cold by a health reply", func() {
		// Guards against a server that lost its caches and still gets its full load.
		_, owner := newPair(fakebackend.Script{ColdRemaining: time.Minute})
		limitCold(owner)
		s := owner.Servers.Get(serverName)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		owner.Execute(ctx, &dispatch.ExecuteAttempt{Server: s, Probe: true, MaySend: func() bool { return true }})
		Expect(s.Cold(time.Now())).To(BeTrue())
	})
})
