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
)

const (
	routeTarget   = 200 * time.Millisecond
	routeDeadline = 800 * time.Millisecond
)

// routeBench has the services s0 to s3, with two servers each, sN-a and sN-b, and a route over all of them.
type routeBench struct {
	connector *fakebackend.Connector
	searcher  *scatter.Searcher
	topology  *model.Topology
	route     model.Route
	passes    int
}

func newRouteBench(scripts map[model.ServerName]fakebackend.Script) *routeBench {
	return newRouteBenchIn("z2", scripts)
}

// newRouteBenchIn places the daemon; sN-a are in the zone z2 and sN-b in z3, each zone in a region of its own.
func newRouteBenchIn(zone model.AvailabilityZone, scripts map[model.ServerName]fakebackend.Script) *routeBench {
	index := &model.RouteIndex{Results: 3, MinCoverage: 0.75}
	b := &routeBench{connector: fakebackend.New(scripts), route: model.Route{
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
	b.topology = model.NewTopology(1, inv, model.Rules{Hedge: model.HedgeRule{Quantile: 0.95}})
	b.topology.Routing = model.NewRouting(1, []model.Route{b.route}, nil, model.CallerLimits{})
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: b.connector}
	rule := budget.FleetRule{Ratio: 0.2, Slack: 1000, Span: time.Millisecond}
	d := dispatch.New(dispatch.Config{
		Zone: zone, Region: model.Region("r" + zone[1:]), Workers: 16, Seed: 1, Policy: model.PolicyDirect,
		// The slack grows with the daemon's age.
		Budgets: tables.NewServiceBudgets(rule, 1, time.Now().Add(-time.Hour)),
	}, config, recorder.Servers, recorder)
	recorder.Admissions, recorder.Budgets = d.Admissions, d.Budgets
	recorder.Adopt(b.topology, time.Now())
	config.Install(b.topology)
	b.searcher = &scatter.Searcher{Dispatcher: d, Instance: "i", Incarnation: 1}
	DeferCleanup(d.Close)
	return b
}

// single makes the route one to the service s0.
func (b *routeBench) single() *routeBench {
	b.route.Index = nil
	b.route.Parts = []model.RoutePart{{Service: "s0", Weight: 1}}
	return b
}

func (b *routeBench) pass(ctx context.Context) (scatter.RouteAnswer, time.Duration) {
	return b.passFrom(ctx, gather.CallerPath{})
}

// passFrom passes a request of a caller at the given distance.
func (b *routeBench) passFrom(ctx context.Context, path gather.CallerPath) (scatter.RouteAnswer, time.Duration) {
	now := time.Now()
	b.passes++
	a := b.searcher.ServeRoute(ctx, scatter.RouteRequest{
		Route: &b.route, Topology: b.topology, Shards: b.searcher.Dispatcher.RouteShards(b.topology, &b.route),
		Message: &backend.Message{ID: fmt.Sprint("id", b.passes)}, Arrived: now, CallerPath: path, Deadline: now.Add(routeDeadline),
	})
	return a, time.Since(now)
}

// arrivals returns the number of attempts that the servers of s0 got.
func (b *routeBench) arrivals() int { return b.connector.Queries("s0-a") + b.connector.Queries("s0-b") }

var slow = fakebackend.Script{Delay: 2 * time.Second}

var _ = Describe("a request of a route", func() {
	It("covers all shards with one signed reply each", func() {
		b := newRouteBench(nil)
		a, _ := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(a.Replies).To(HaveLen(4))
	})

	It("asks a second server of a shard that pauses", func() {
		// Guards against an answer that waits for one paused server past its target.
		b := newRouteBench(map[model.ServerName]fakebackend.Script{"s0-a": slow})
		for range 4 {
			a, took := b.pass(context.Background())
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(took).To(BeNumerically("<", routeTarget))
		}
	})

	It("is answered in part at its target when coverage allows", func() {
		// Guards against an answer that waits for a lost shard until it is worth nothing.
		b := newRouteBench(both("s0", slow))
		a, took := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.MissingShards).To(Equal(1))
		Expect(took).To(BeNumerically("<", routeTarget))
		Expect(took).To(BeNumerically(">", routeTarget/2))
	})

	It("is complete in time although its caller is far away and a server pauses", func() {
		// Guards against a second server that is asked so late for distant callers that its reply cannot be waited for.
		const travel = 90 * time.Millisecond
		b := newRouteBench(map[model.ServerName]fakebackend.Script{
			"s0-a": slow, "s0-b": {Delay: 30 * time.Millisecond}, "s1-b": slow, "s2-b": slow, "s3-b": slow,
		})
		for range 8 {
			a, took := b.passFrom(context.Background(), gather.CallerPath{RoundTrip: travel})
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(took).To(BeNumerically("<", routeTarget-travel))
		}
	})

	It("is answered earlier where answers take long to be written", func() {
		// Guards against answers that are decided within the target and written after it.
		const lag = 40 * time.Millisecond
		b := newRouteBench(both("s0", slow))
		for range 16 {
			b.searcher.ObserveAnswerWritten(&scatter.RouteAnswer{ReadyAt: time.Now().Add(-lag)})
		}
		a, took := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(took).To(BeNumerically("<", routeTarget-lag))
	})

	It("is never sent to more servers of a shard than the route allows", func() {
		// Guards against a hedge of a request whose route allows one attempt.
		b := newRouteBench(both("s0", slow)).single()
		b.route.MaxAttempts = 1
		a, _ := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
		Expect(a.Late).To(BeTrue())
		Expect(b.arrivals()).To(Equal(1))
	})

	It("is answered at once when no server can be reached, and says truly that it was not run", func() {
		b := newRouteBench(both("s0", fakebackend.Script{Status: backend.StatusUnreachable})).single()
		a, took := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeNotRun))
		Expect(took).To(BeNumerically("<", routeTarget))
	})

	It("does not say that it was not run when a reply was lost", func() {
		// Guards against a promise that the daemon cannot keep.
		b := newRouteBench(both("s0", fakebackend.Script{Status: backend.StatusLost})).single()
		a, _ := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
		Expect(b.arrivals()).To(Equal(2))
	})

	It("leaves out replies that are failures", func() {
		b := newRouteBench(both("s0", fakebackend.Script{Code: 404}))
		a, _ := b.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.MissingShards).To(Equal(1))
	})

	It("fails at once when the coverage cannot be reached any more", func() {
		// Guards against a request that is held although what it waits for cannot help.
		scripts := both("s0", fakebackend.Script{Status: backend.StatusShed})
		for name, s := range both("s1", fakebackend.Script{Status: backend.StatusShed}) {
			scripts[name] = s
		}
		scripts["s2-a"], scripts["s2-b"] = slow, slow
		a, took := newRouteBench(scripts).pass(context.Background())
		Expect(took).To(BeNumerically("<", routeTarget/2))
		Expect(a.Late).To(BeFalse())
	})

	It("ends when the caller leaves", func() {
		b := newRouteBench(both("s0", slow)).single()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, took := b.pass(ctx)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
	})
})
