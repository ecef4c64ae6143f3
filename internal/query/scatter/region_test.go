package scatter_test

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

// regionDaemon is one of two daemons that forward sub-requests to each other.
type regionDaemon struct {
	*routeFixture
	self         model.Member
	forwarding   *dispatch.Forwarding
	peer         *regionDaemon
	disconnected bool
	// batches counts the batches with queries that this daemon sent.
	batches atomic.Int64
}

// Forward implements dispatch.Sender.
func (r *regionDaemon) Forward(_ context.Context, _ string, b forwarding.Batch) (forwarding.Receipt, error) {
	if r.disconnected {
		return forwarding.Receipt{}, errors.New("peer unreachable")
	}
	if len(b.Queries) > 0 {
		r.batches.Add(1)
	}
	return r.peer.forwarding.Receive(b), nil
}

// newRegionPair returns a local daemon, whose region has no servers, and a remote one, which is in the region of the servers
// sN-a. The servers sN-b are in a third region without a daemon. The scripts define how the servers behave toward each daemon.
func newRegionPair(localScripts, remoteScripts map[model.ServerName]fakebackend.Script) (local, remote *regionDaemon) {
	local = &regionDaemon{self: model.Member{Instance: "local", Zone: "z1", Address: "local"}}
	remote = &regionDaemon{self: model.Member{Instance: "remote", Zone: "z2", Address: "remote"}}
	local.peer, remote.peer = remote, local
	local.routeFixture = newRouteFixtureIn("z1", localScripts)
	remote.routeFixture = newRouteFixtureIn("z2", remoteScripts)
	for _, r := range []*regionDaemon{local, remote} {
		owners := tables.NewOwners()
		r.forwarding = r.searcher.Dispatcher.EnableForwarding(dispatch.ForwardingConfig{
			Sender: r, Self: r.self, Owners: owners, Draining: func() bool { return false },
		})
		owners.SetMembers(map[model.AvailabilityZone][]model.Member{r.peer.self.Zone: {r.peer.self}}, time.Now())
	}
	return local, remote
}

// exhaustBudget sets a rule that leaves the daemon's own budget without extra attempts.
func (r *regionDaemon) exhaustBudget() {
	r.searcher.Dispatcher.ServiceBudgets.SetRule(budget.FleetRule{Span: time.Hour}, time.Now())
}

// countSignatures returns the number of signatures in the replies; each shard that a reply covers adds one.
func countSignatures(replies []*backend.MessageReply) (signatures int) {
	for _, r := range replies {
		signatures += len(r.Signatures)
	}
	return signatures
}

func replyWithBody(s string) fakebackend.Script { return fakebackend.Script{Body: s} }

var _ = Describe("a request for shards of another region", func() {
	It("is answered with merged replies that cover each shard once", suite.Bubbled(func() {
		// Guards against sub-requests for one region that are not sent in one batch, and replies that cover a shard twice.
		local, remote := newRegionPair(nil, map[model.ServerName]fakebackend.Script{"s0-a": replyWithBody("aaaaaaaaaaaaaaaa")})
		a, _ := local.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(countSignatures(a.Replies)).To(Equal(4))
		Expect(int(local.batches.Load())).To(Equal(1))
		Expect(remote.connector.TotalQueries()).To(BeNumerically(">", 0))
	}))

	It("does not wait for a paused server of that region, and covers no shard twice", suite.Bubbled(func() {
		// Guards against one slow server that delays the replies of all others in its region.
		local, _ := newRegionPair(nil, map[model.ServerName]fakebackend.Script{"s0-a": slow, "s1-a": slow})
		for range 4 {
			a, took := local.serve(context.Background())
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(countSignatures(a.Replies)).To(Equal(4))
			Expect(took).To(BeNumerically("<", routeTarget))
		}
	}))

	It("sends a second attempt to a server in another zone through the daemon of that zone", suite.Bubbled(func() {
		// Guards against second attempts that are delayed by opening new connections across regions.
		local, remote := newRegionPair(map[model.ServerName]fakebackend.Script{
			"s0-b": slow, "s1-b": slow, "s2-b": slow, "s3-b": slow,
		}, nil)
		for range 8 {
			a, took := local.serve(context.Background())
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(took).To(BeNumerically("<", routeTarget))
		}
		for _, server := range []model.ServerName{"s0-a", "s1-a", "s2-a", "s3-a"} {
			Expect(local.connector.Queries(server)).To(BeZero())
			Expect(remote.connector.Queries(server)).To(BeNumerically(">", 0))
		}
	}))

	DescribeTable("charges a second attempt to the remote daemon once the local budget is exhausted",
		// Guards against missing shards in a large fleet, where one daemon has used up its small part of the budget while
		// others have budget left.
		func(failing fakebackend.Script) {
			suite.SpecInBubble(func() {
				local, remote := newRegionPair(map[model.ServerName]fakebackend.Script{"s0-b": failing, "s1-b": failing}, nil)
				local.exhaustBudget()
				for range 8 {
					a, took := local.serve(context.Background())
					Expect(a.Outcome).To(Equal(model.OutcomeComplete))
					Expect(took).To(BeNumerically("<", routeTarget))
				}
				Expect(remote.connector.TotalQueries()).To(BeNumerically(">", 0))
			})
		},
		Entry("if the first server is slow", slow),
		Entry("if the reply of the first server is lost", fakebackend.Script{Status: backend.StatusLost}),
	)

	It("sends no second attempt if the budget of the remote daemon is exhausted too", suite.Bubbled(func() {
		// Guards against daemons that together send more extra attempts than the budget of the fleet allows.
		for range 4 {
			local, remote := newRegionPair(map[model.ServerName]fakebackend.Script{
				"s0-b": slow, "s1-b": slow, "s2-b": slow, "s3-b": slow,
			}, nil)
			local.exhaustBudget()
			remote.exhaustBudget()
			local.serve(context.Background())
			Expect(local.connector.TotalQueries() + remote.connector.TotalQueries()).To(Equal(len(local.route.Index.Services)))
		}
	}))

	It("is not reported as not run if another daemon was asked to send it", suite.Bubbled(func() {
		// Guards against a refusal that states that no server runs the request while one does.
		// The refusals come after the other daemon was asked.
		shed := fakebackend.Script{Status: backend.StatusShed, Delay: 20 * time.Millisecond}
		scripts := map[model.ServerName]fakebackend.Script{"s0-a": slow, "s0-b": shed}
		for _, service := range []string{"s1", "s2", "s3"} {
			maps.Copy(scripts, bothReplicas(service, shed))
		}
		local, remote := newRegionPair(scripts, scripts)
		a, _ := local.serve(context.Background())
		Expect(remote.connector.Queries("s0-a")).To(Equal(1))
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
	}))

	It("is answered directly when the other daemon cannot be reached", suite.Bubbled(func() {
		// Guards against a lost daemon that makes the shards of its region missing.
		local, _ := newRegionPair(nil, nil)
		local.disconnected = true
		a, took := local.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(took).To(BeNumerically("<", routeTarget))
	}))
})

var _ = DescribeTable("a request for one server of another region",
	func(daemons int, direct types.GomegaMatcher) {
		// Guards against a fleet in which each daemon opens a connection to each server, more than the server accepts.
		suite.SpecInBubble(func() {
			// The servers sN-b, which no daemon is near, do not reply.
			noReply := map[model.ServerName]fakebackend.Script{"s0-b": slow}
			local, remote := newRegionPair(noReply, noReply)
			local.toSingleService()
			local.topology.Inventory.MaxInstances = daemons
			for range 8 {
				a, _ := local.serve(context.Background())
				Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			}
			Expect(local.connector.Queries("s0-a")).To(direct)
			Expect(local.connector.Queries("s0-a") + remote.connector.Queries("s0-a")).To(BeNumerically(">=", 8))
		})
	},
	Entry("goes through a daemon there, if the fleet has more daemons than the server accepts connections", 5, BeZero()),
	Entry("goes directly to the server otherwise", 4, BeNumerically(">=", 8)),
)
