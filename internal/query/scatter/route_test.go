package scatter_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/scatter"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

const (
	routeTarget   = 200 * time.Millisecond
	routeDeadline = 800 * time.Millisecond
)

// routeFixture has the services s0 to s3, with two servers each, sN-a and sN-b, and a route over all of them.
type routeFixture struct {
	connector *fakebackend.Connector
	searcher  *scatter.Searcher
	topology  *model.Topology
	route     model.Route
	requests  int
}

func newRouteFixture(scripts map[model.ServerName]fakebackend.Script) *routeFixture {
	return newRouteFixtureIn("z2", scripts)
}

// newRouteFixtureIn returns a fixture whose daemon is in the given zone. The servers sN-a are in zone z2, sN-b in z3; each
// zone is in a region of its own.
func newRouteFixtureIn(zone model.AvailabilityZone, scripts map[model.ServerName]fakebackend.Script) *routeFixture {
	index := &model.FanOut{Results: 3, MinCoverage: 0.75}
	f := &routeFixture{connector: fakebackend.New(scripts), route: model.Route{
		Name: "r", Idempotent: true, MaxAttempts: 2, Timeout: routeDeadline, Target: routeTarget, Index: index,
	}}
	inv := model.Inventory{MaxInstances: 1, Zones: []model.ZoneSpec{
		{Name: "z1", Region: "r1"}, {Name: "z2", Region: "r2"}, {Name: "z3", Region: "r3"},
	}}
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		shard := model.ShardSpec{Name: model.ShardName(name), KeyTo: model.KeySpace, Servers: []model.ServerSpec{
			{Name: model.ServerName(name + "-a"), Zone: "z2", Slots: 2, Connections: 4, Address: "-"},
			{Name: model.ServerName(name + "-b"), Zone: "z3", Slots: 2, Connections: 4, Address: "-"},
		}}
		inv.Services = append(inv.Services, model.ServiceSpec{Name: model.ServiceName(name), Shards: []model.ShardSpec{shard}})
		index.Services = append(index.Services, model.ServiceName(name))
	}
	f.topology = model.NewTopology(1, inv, model.Rules{Hedge: model.HedgeRule{Quantile: 0.95}})
	f.topology.Routing = model.NewRouting(1, []model.Route{f.route}, nil, model.CallerLimits{})
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: f.connector}
	rule := budget.FleetRule{Ratio: 0.2, Slack: 1000, Span: time.Millisecond}
	d := dispatch.New(dispatch.Config{
		Zone: zone, Region: model.Region("r" + zone[1:]), Workers: 16, Seed: 1, Policy: model.PolicyDirect,
		// The slack grows with the daemon's age, which is therefore set to an hour.
		ServiceBudgets: tables.NewServiceBudgets(rule, 1, time.Now().Add(-time.Hour)),
	}, config, recorder.Servers, recorder)
	recorder.Admissions, recorder.Budgets = d.Admissions, d.Budgets
	recorder.ApplyTopology(f.topology, time.Now())
	config.Install(f.topology)
	f.searcher = &scatter.Searcher{Dispatcher: d, Instance: "i", Incarnation: 1}
	suite.CloseAtEnd(d.Close)
	return f
}

// toSingleService makes the route one to the service s0 only.
func (f *routeFixture) toSingleService() *routeFixture {
	f.route.Index = nil
	f.route.Parts = []model.WeightedService{{Service: "s0", Weight: 1}}
	return f
}

func (f *routeFixture) serve(ctx context.Context) (scatter.RouteAnswer, time.Duration) {
	return f.serveFrom(ctx, gather.CallerPath{})
}

// serveFrom serves a request of a caller with the given network path.
func (f *routeFixture) serveFrom(ctx context.Context, path gather.CallerPath) (scatter.RouteAnswer, time.Duration) {
	now := time.Now()
	f.requests++
	a := f.searcher.ServeRoute(ctx, scatter.RouteRequest{
		Route: &f.route, Topology: f.topology, Shards: f.searcher.Dispatcher.RouteShards(f.topology, &f.route),
		Message: &backend.Message{ID: fmt.Sprint("id", f.requests)}, Arrived: now, CallerPath: path, Deadline: now.Add(routeDeadline),
	})
	return a, time.Since(now)
}

// attemptsReceived returns the number of attempts that the servers of s0 got.
func (f *routeFixture) attemptsReceived() int {
	return f.connector.Queries("s0-a") + f.connector.Queries("s0-b")
}

var slow = fakebackend.Script{Delay: 2 * time.Second}

var _ = Describe("a request of a route", func() {
	It("covers all shards with one signed reply each", suite.Bubbled(func() {
		// Guards against an answer without a shard, or with two replies of one shard, although no server fails.
		f := newRouteFixture(nil)
		a, _ := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(a.Replies).To(HaveLen(4))
	}))

	It("is sent to a second server of a shard if the first one pauses", suite.Bubbled(func() {
		// Guards against an answer that waits for one paused server beyond its latency target.
		f := newRouteFixture(map[model.ServerName]fakebackend.Script{"s0-a": slow})
		for range 4 {
			a, took := f.serve(context.Background())
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(took).To(BeNumerically("<", routeTarget))
		}
	}))

	It("gets a partial answer within its latency target if the coverage suffices", suite.Bubbled(func() {
		// Guards against an answer that waits for a lost shard until it is too late to be of use.
		f := newRouteFixture(bothReplicas("s0", slow))
		a, took := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.MissingShards).To(Equal(1))
		Expect(took).To(BeNumerically("<", routeTarget))
		Expect(took).To(BeNumerically(">", routeTarget/2))
	}))

	It("gets a complete answer in time if its caller is far away and a server pauses", suite.Bubbled(func() {
		// Guards against second attempts for distant callers that start too late for their replies to be part of the answer.
		const travel = 90 * time.Millisecond
		f := newRouteFixture(map[model.ServerName]fakebackend.Script{
			"s0-a": slow, "s0-b": {Delay: 30 * time.Millisecond}, "s1-b": slow, "s2-b": slow, "s3-b": slow,
		})
		for range 8 {
			a, took := f.serveFrom(context.Background(), gather.CallerPath{RoundTrip: travel})
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(took).To(BeNumerically("<", routeTarget-travel))
		}
	}))

	It("is answered earlier if writing answers takes long", suite.Bubbled(func() {
		// Guards against answers that are decided within the latency target but written after it.
		const lag = 40 * time.Millisecond
		f := newRouteFixture(bothReplicas("s0", slow))
		for range 16 {
			f.searcher.ObserveAnswerWritten(&scatter.RouteAnswer{ReadyAt: time.Now().Add(-lag)})
		}
		a, took := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(took).To(BeNumerically("<", routeTarget-lag))
	}))

	It("is never sent to more servers of a shard than the route allows", suite.Bubbled(func() {
		// Guards against a hedge of a request whose route allows one attempt.
		f := newRouteFixture(bothReplicas("s0", slow)).toSingleService()
		f.route.MaxAttempts = 1
		a, _ := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
		Expect(a.Late).To(BeTrue())
		Expect(f.attemptsReceived()).To(Equal(1))
	}))

	It("is answered at once as not run if no server can be reached", suite.Bubbled(func() {
		// Guards against a caller who waits for a request that was never sent, or is not told that it may safely be repeated.
		f := newRouteFixture(bothReplicas("s0", fakebackend.Script{Status: backend.StatusUnreachable})).toSingleService()
		a, took := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeNotRun))
		Expect(took).To(BeNumerically("<", routeTarget))
	}))

	It("is not reported as not run if a reply was lost", suite.Bubbled(func() {
		// Guards against an answer that states that no server ran the request although one may have.
		f := newRouteFixture(bothReplicas("s0", fakebackend.Script{Status: backend.StatusLost})).toSingleService()
		a, _ := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
		Expect(f.attemptsReceived()).To(Equal(2))
	}))

	It("leaves unsuccessful replies out of the answer", suite.Bubbled(func() {
		// Guards against an answer that counts a shard as covered although its server returned an error.
		f := newRouteFixture(bothReplicas("s0", fakebackend.Script{StatusCode: 404}))
		a, _ := f.serve(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.MissingShards).To(Equal(1))
	}))

	It("fails at once if the required coverage can no longer be reached", suite.Bubbled(func() {
		// Guards against a request that waits for replies that cannot make its coverage sufficient.
		scripts := bothReplicas("s0", fakebackend.Script{Status: backend.StatusShed})
		for name, s := range bothReplicas("s1", fakebackend.Script{Status: backend.StatusShed}) {
			scripts[name] = s
		}
		scripts["s2-a"], scripts["s2-b"] = slow, slow
		a, took := newRouteFixture(scripts).serve(context.Background())
		Expect(took).To(BeNumerically("<", routeTarget/2))
		Expect(a.Late).To(BeFalse())
	}))

	It("ends when the caller disconnects", suite.Bubbled(func() {
		// Guards against a request that continues until its deadline after its caller disconnected.
		f := newRouteFixture(bothReplicas("s0", slow)).toSingleService()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, took := f.serve(ctx)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
	}))
})
