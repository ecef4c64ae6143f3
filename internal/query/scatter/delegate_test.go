package scatter_test

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/scatter"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

// linkFault is a fault of the link from one daemon to another.
type linkFault int32

const (
	linkUp linkFault = iota
	// linkRefused fails each delivery at once.
	linkRefused
	// linkHung delivers nothing, and fails only when the sender gives up.
	linkHung
	// linkSlow delivers each batch after slowLink.
	linkSlow
	// linkLosesReceipts delivers batches, but the sender never hears of it.
	linkLosesReceipts
)

// zoneDaemon is one of two daemons of one zone.
type zoneDaemon struct {
	*routeFixture
	self       model.Member
	forwarding *dispatch.Forwarding
	peer       *zoneDaemon
	fault      atomic.Int32
	draining   atomic.Bool
	// delegated counts the requests that this daemon handed to its peer.
	delegated atomic.Int32
}

// slowLink is the delay of linkSlow. A check does not arrive by the time at which the other daemon is given up, and the answer
// does before it is overdue.
const slowLink = routeTarget / 2

func (z *zoneDaemon) setFault(f linkFault) { z.fault.Store(int32(f)) }

// Forward implements dispatch.Sender.
func (z *zoneDaemon) Forward(ctx context.Context, _ string, b forwarding.Batch) (forwarding.Receipt, error) {
	for i := range b.Queries {
		if b.Queries[i].Gather != nil {
			z.delegated.Add(1)
		}
	}
	switch linkFault(z.fault.Load()) {
	case linkRefused:
		return forwarding.Receipt{}, errors.New("connection refused")
	case linkHung:
		<-ctx.Done()
		return forwarding.Receipt{}, ctx.Err()
	case linkSlow:
		time.Sleep(slowLink)
	case linkLosesReceipts:
		z.peer.forwarding.Receive(b)
		<-ctx.Done()
		return forwarding.Receipt{}, ctx.Err()
	case linkUp:
	}
	return z.peer.forwarding.Receive(b), nil
}

// newZonePair returns a weak and a strong daemon of zone z2. The scripts define how the servers behave toward each of them.
func newZonePair(weakScripts, strongScripts map[model.ServerName]fakebackend.Script) (weak, strong *zoneDaemon) {
	weak = &zoneDaemon{self: model.Member{Instance: "weak", Zone: "z2", Address: "weak", Capacity: 0.2}}
	strong = &zoneDaemon{self: model.Member{Instance: "strong", Zone: "z2", Address: "strong", Capacity: 0.8}}
	weak.peer, strong.peer = strong, weak
	weak.routeFixture = newRouteFixtureIn("z2", weakScripts)
	strong.routeFixture = newRouteFixtureIn("z2", strongScripts)
	members := []model.Member{strong.self, weak.self}
	for _, z := range []*zoneDaemon{weak, strong} {
		owners := tables.NewOwners()
		z.forwarding = z.searcher.Dispatcher.EnableForwarding(dispatch.ForwardingConfig{
			Sender: z, Self: z.self, Owners: owners, Draining: z.draining.Load,
		})
		z.forwarding.SetGatherer(z.searcher)
		owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z2": members[:1]}, time.Now())
	}
	return weak, strong
}

// services are the services of the fixture's route.
var services = []string{"s0", "s1", "s2", "s3"}

// distantQueries returns the number of queries to servers in another region.
func (z *zoneDaemon) distantQueries() int {
	n := 0
	for _, service := range services {
		n += z.connector.Queries(model.ServerName(service + "-b"))
	}
	return n
}

// gatherQuery returns a request of the fixture's route as another daemon hands it on.
func gatherQuery() *forwarding.Query {
	return &forwarding.Query{
		Left: routeDeadline, Gather: &forwarding.Gather{Route: "r", Version: 1, DueLeft: routeTarget},
		Request: backend.QueryRequest{Message: &backend.Message{ID: "other"}, Deadline: time.Now().Add(routeDeadline)},
	}
}

func (z *zoneDaemon) attempts() int { return z.connector.TotalQueries() }

var _ = Describe("a request over an index at a weak daemon", func() {
	It("is gathered by a strong one of its zone, which states what is missing", suite.Bubbled(func() {
		// Guards against a weak daemon that spends the caller's time on many sub-requests, and against a lost count of shards.
		weak, strong := newZonePair(nil, bothReplicas("s0", slow))
		a, took := weak.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.MissingShards).To(Equal(1))
		Expect(countSignatures(a.Replies)).To(Equal(3))
		Expect(took).To(BeNumerically("<", routeTarget))
		Expect(weak.attempts()).To(BeZero())
		Expect(strong.attempts()).To(BeNumerically(">=", 4))
	}))

	It("is not gathered for a workspace that the strong one does not know", suite.Bubbled(func() {
		// Guards against a daemon that serves requests for others although all keys of their workspace were removed.
		_, strong := newZonePair(nil, nil)
		strong.topology.Routing = strong.topology.Routing.WithWorkspaces([]model.Workspace{{Name: "a"}})
		for _, name := range []model.WorkspaceName{"", "a", "b"} {
			q := gatherQuery()
			q.Workspace = name
			r := strong.searcher.GatherFor(context.Background(), q, time.Now())
			Expect(r.Result.Status == backend.StatusBusy || r.Gathered.Outcome == model.OutcomeNotRun).To(BeTrue())
		}
		Expect(strong.attempts()).To(BeZero())
	}))

	It("is not handed on by the strong one", suite.Bubbled(func() {
		// Guards against daemons that hand a request to each other.
		_, strong := newZonePair(nil, nil)
		a, _ := strong.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(strong.delegated.Load()).To(BeZero())
	}))

	It("is refused as not run, with the time to wait, if the strong one found its servers resting", suite.Bubbled(func() {
		// Guards against a refusal that is reported as a failure, or whose Retry-After is lost on the way.
		resting := map[model.ServerName]fakebackend.Script{}
		for _, service := range services {
			for name, s := range bothReplicas(service, fakebackend.Script{Status: backend.StatusShed, RetryAfter: 3 * time.Second}) {
				resting[name] = s
			}
		}
		weak, _ := newZonePair(nil, resting)
		var a scatter.RouteAnswer
		Eventually(func() model.Outcome {
			// Requests fail until each server has refused one.
			a, _ = weak.serve(context.Background())
			return a.Outcome
		}).Should(Equal(model.OutcomeNotRun))
		Expect(a.Pushback).To(BeNumerically("~", 3*time.Second, time.Second))
	}))

	DescribeTable("is gathered by the weak one, in time, if the strong one cannot",
		func(prepare func(weak, strong *zoneDaemon)) {
			// Guards against a request that is lost with the daemon that was to gather its answer.
			suite.SpecInBubble(func() {
				weak, strong := newZonePair(nil, nil)
				prepare(weak, strong)
				for range 3 {
					a, took := weak.serve(context.Background())
					Expect(a.Outcome).To(Equal(model.OutcomeComplete))
					Expect(took).To(BeNumerically("<", routeTarget))
				}
				Expect(weak.attempts()).To(BeNumerically(">=", 4))
			})
		},
		Entry("because it ended", func(weak, _ *zoneDaemon) { weak.setFault(linkRefused) }),
		Entry("because it does not respond", func(weak, _ *zoneDaemon) { weak.setFault(linkHung) }),
		Entry("because it is stopping", func(_, strong *zoneDaemon) { strong.draining.Store(true) }),
		Entry("because it has another version of the configuration", func(_, strong *zoneDaemon) {
			next := *strong.topology
			next.Revision++
			next.Routing = model.NewRouting(2, []model.Route{strong.route}, nil, model.CallerLimits{})
			strong.searcher.Dispatcher.Config.Install(&next)
		}),
	)

	It("is gathered by the weak one, late, if the strong one responds but its answer does not arrive", suite.Bubbled(func() {
		// Guards against waiting until the deadline for an answer that is overdue.
		weak, strong := newZonePair(nil, nil)
		strong.setFault(linkHung)
		a, took := weak.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(took).To(BeNumerically("<", routeDeadline/2))
	}))

	It("is not gathered anew while the strong one still works on its answer, even if that is late", suite.Bubbled(func() {
		// Guards against a fleet that sends every sub-request twice when servers are slow, and has no extra attempts left for those
		// that fail.
		overdue := fakebackend.Script{Delay: 2 * routeTarget}
		scripts := bothReplicas("s0", overdue)
		maps.Copy(scripts, bothReplicas("s1", overdue))
		weak, _ := newZonePair(nil, scripts)
		a, took := weak.serve(context.Background())
		Expect(a.Outcome).To(BeElementOf(model.OutcomeComplete, model.OutcomePartial))
		Expect(took).To(BeNumerically(">", routeTarget))
		Expect(weak.attempts()).To(BeZero())
	}))

	It("has the answer of the strong one although the weak one cannot gather it", suite.Bubbled(func() {
		// Guards against a daemon that gives up its own attempt, for which it has no budget, and with it the other daemon's work.
		weak, strong := newZonePair(nil, nil)
		weak.searcher.Dispatcher.ServiceBudgets.SetRule(budget.FleetRule{Span: time.Hour}, time.Now())
		weak.setFault(linkSlow)
		a, _ := weak.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(weak.attempts()).To(BeZero())
		Expect(strong.attempts()).To(Equal(len(services)))
	}))

	It("goes to other daemons for a while after one did not respond", suite.Bubbled(func() {
		// Guards against each request waiting for the same lost daemon.
		weak, _ := newZonePair(nil, nil)
		weak.setFault(linkHung)
		weak.serve(context.Background())
		Eventually(func() bool {
			before := weak.delegated.Load()
			weak.serve(context.Background())
			return weak.delegated.Load() == before
		}).WithTimeout(2 * time.Second).Should(BeTrue())
	}))

	It("is sent to no more servers of a shard than the route allows, even if both daemons gather it", suite.Bubbled(func() {
		// Guards against a daemon that gathers an answer which the other one still works on, with servers of its own choice.
		nearSlow := map[model.ServerName]fakebackend.Script{}
		for _, service := range services {
			nearSlow[model.ServerName(service+"-a")] = fakebackend.Script{Delay: 150 * time.Millisecond}
			nearSlow[model.ServerName(service+"-b")] = fakebackend.Script{Delay: time.Millisecond}
		}
		weak, strong := newZonePair(nearSlow, nil)
		for range 4 {
			// From its own requests the weak daemon learns to prefer the distant replicas.
			weak.searcher.GatherFor(context.Background(), gatherQuery(), time.Now())
		}
		weak.route.MaxAttempts, strong.topology.Routing.Routes[0].MaxAttempts = 1, 1
		distant, sent := weak.distantQueries(), weak.attempts()
		weak.setFault(linkLosesReceipts)
		strong.setFault(linkHung)
		weak.serve(context.Background())
		Expect(strong.attempts()).To(Equal(len(services)))
		Expect(strong.distantQueries()).To(BeZero())
		Expect(weak.attempts()).To(Equal(sent + len(services)))
		Expect(weak.distantQueries()).To(Equal(distant))
	}))

	It("counts as extra ones the attempts that the strong daemon may have sent already", suite.Bubbled(func() {
		// Guards against a fleet that exceeds its budget of extra attempts when daemons are lost.
		weak, _ := newZonePair(nil, nil)
		weak.searcher.Dispatcher.ServiceBudgets.SetRule(budget.FleetRule{Span: time.Hour}, time.Now())
		weak.setFault(linkHung)
		a, _ := weak.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
		Expect(weak.attempts()).To(BeZero())
	}))

	It("ends at the strong daemon too when its caller disconnects", suite.Bubbled(func() {
		// Guards against servers that work for a caller who has left, until the answer would have been due.
		const cancelledWithin = 300 * time.Millisecond
		weak, strong := newZonePair(nil, bothReplicas("s0", slow))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, took := weak.serve(ctx)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Eventually(func() int { return strong.connector.Cancelled("s0-a") + strong.connector.Cancelled("s0-b") }).
			WithTimeout(cancelledWithin).Should(BeNumerically(">=", 1))
	}))
})
