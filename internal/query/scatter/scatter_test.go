package scatter_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/scatter"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestScatter(t *testing.T) { suite.Run(t, "./internal/query/scatter") }

const service model.ServiceName = "search"

// topology returns a topology of four shards, s0 to s3, with two servers each, sN-a and sN-b. The given servers are in
// another zone than the daemon.
func topology(far ...model.ServerName) *model.Topology {
	zone := func(server string) model.AvailabilityZone {
		if slices.Contains(far, model.ServerName(server)) {
			return "far"
		}
		return "z"
	}
	inv := model.Inventory{MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}, {Name: "far", Region: "r"}}}
	svc := model.ServiceSpec{Name: service, ShardMapEpoch: 1}
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		svc.Shards = append(svc.Shards, model.ShardSpec{
			Name: model.ShardName(name), KeyFrom: i * model.KeySpace / 4, KeyTo: (i + 1) * model.KeySpace / 4,
			Servers: []model.ServerSpec{
				{Name: model.ServerName(name + "-a"), Zone: zone(name + "-a"), Slots: 2, Connections: 4, Address: "-"},
				{Name: model.ServerName(name + "-b"), Zone: zone(name + "-b"), Slots: 2, Connections: 4, Address: "-"},
			},
		})
	}
	inv.Services = []model.ServiceSpec{svc}
	return model.NewTopology(1, inv, model.Rules{
		Hedge:     model.HedgeRule{MaxRatio: 1, WindowMs: 10_000, Quantile: 0.95, MinDelayMs: 1},
		Retry:     model.RetryRule{MaxRatio: 1, WindowMs: 10_000, MaxAttempts: 3},
		Deadlines: model.DeadlineRule{DefaultMs: 1000, MaxMs: 10_000},
	})
}

type fixture struct {
	connector *fakebackend.Connector
	searcher  *scatter.Searcher
	topology  *model.Topology
}

func newFixture(scripts map[model.ServerName]fakebackend.Script) *fixture {
	return newFixtureWith(scripts, topology())
}

func newFixtureWith(scripts map[model.ServerName]fakebackend.Script, t *model.Topology) *fixture {
	f := &fixture{connector: fakebackend.New(scripts), topology: t}
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: f.connector}
	d := dispatch.New(dispatch.Config{Zone: "z", Region: "r", Workers: 16, Seed: 1}, config, recorder.Servers, recorder)
	recorder.Admissions, recorder.Budgets = d.Admissions, d.Budgets
	recorder.ApplyTopology(f.topology, time.Now())
	config.Install(f.topology)
	f.searcher = &scatter.Searcher{Dispatcher: d, Instance: "i", Incarnation: 1}
	suite.CloseAtEnd(d.Close)
	return f
}

func (f *fixture) search(ctx context.Context, deadline time.Duration, limit int) scatter.Answer {
	return f.searcher.Search(ctx, scatter.Request{
		Caller: "c", Service: f.topology.Service(service), Topology: f.topology, Limit: limit,
		Deadline: time.Now().Add(deadline),
	})
}

// expectConsistent checks that the answer's items are of one index version and from exactly the shards that its coverage
// reports.
func expectConsistent(g Gomega, a scatter.Answer) {
	seen := map[string]bool{}
	for _, item := range a.Items {
		shard, version, _ := strings.Cut(item.Body, "@")
		seen[shard] = true
		g.Expect(version).To(Equal(fmt.Sprint(a.Version)), "one snapshot")
	}
	g.Expect(seen).To(HaveLen(a.Coverage.ShardsAnswered))
	for _, missing := range a.Coverage.Missing {
		g.Expect(seen).NotTo(HaveKey(string(missing)))
	}
	g.Expect(a.Coverage.ShardsAsked).To(Equal(4))
	g.Expect(a.Coverage.ShardsAnswered + len(a.Coverage.Missing)).To(Equal(4))
	g.Expect(a.Coverage.Fraction).To(BeNumerically("~", float64(a.Coverage.ShardsAnswered)/4, 1e-9))
	g.Expect(a.Coverage.Complete).To(Equal(a.Outcome == model.OutcomeComplete))
}

func bothReplicas(shard string, s fakebackend.Script) map[model.ServerName]fakebackend.Script {
	return map[model.ServerName]fakebackend.Script{
		model.ServerName(shard + "-a"): s, model.ServerName(shard + "-b"): s,
	}
}

var _ = Describe("Search", func() {
	// Guards against answers that mix index versions or report a wrong coverage.
	DescribeTable("reports version and coverage correctly for each fault of a shard's servers",
		func(scripts map[model.ServerName]fakebackend.Script, outcome model.Outcome, version int, missing ...string) {
			f := newFixture(scripts)
			a := f.search(context.Background(), time.Second, 100)
			Expect(a.Outcome).To(Equal(outcome))
			Expect(a.Version).To(Equal(model.IndexVersion(version)))
			names := []string{}
			for _, m := range a.Coverage.Missing {
				names = append(names, string(m))
			}
			Expect(names).To(ConsistOf(missing))
			expectConsistent(Default, a)
		},
		Entry("no fault", nil, model.OutcomeComplete, 1),
		Entry("first attempts refused: the other replica answers",
			bothReplicas("s1", fakebackend.Script{Status: backend.StatusUnreachable, Times: 1}), model.OutcomeComplete, 1),
		Entry("both replicas refused: the shard is named as missing",
			bothReplicas("s1", fakebackend.Script{Status: backend.StatusUnreachable}), model.OutcomePartial, 1, "s1"),
		Entry("replies lost once: retried",
			bothReplicas("s2", fakebackend.Script{Status: backend.StatusLost, Times: 1}), model.OutcomeComplete, 1),
		Entry("only replies to other requests: missing, never merged",
			bothReplicas("s2", fakebackend.Script{Status: backend.StatusMismatched}), model.OutcomePartial, 1, "s2"),
		Entry("both replicas shed", bothReplicas("s0", fakebackend.Script{Status: backend.StatusShed}),
			model.OutcomePartial, 1, "s0"),
		Entry("both replicas draining", bothReplicas("s0", fakebackend.Script{Status: backend.StatusDraining}),
			model.OutcomePartial, 1, "s0"),
		Entry("a shard is one version ahead and holds the old one: queried again",
			bothReplicas("s3", fakebackend.Script{Version: 2, Retained: []model.IndexVersion{1}}), model.OutcomeComplete, 1),
		Entry("a shard is one version ahead and no longer holds the old one: missing, never mixed",
			bothReplicas("s3", fakebackend.Script{Version: 2}), model.OutcomePartial, 1, "s3"),
		Entry("a shard answers with another shard map epoch: missing, never mixed",
			bothReplicas("s3", fakebackend.Script{Epoch: 2}), model.OutcomePartial, 1, "s3"),
	)

	It("answers partially before the deadline when a shard is too slow", func() {
		// Guards against an answer that comes after the caller's deadline or reports full coverage.
		f := newFixture(bothReplicas("s1", fakebackend.Script{Delay: time.Minute}))
		begin := time.Now()
		a := f.search(context.Background(), 300*time.Millisecond, 100)
		Expect(time.Since(begin)).To(BeNumerically("<", 10*time.Second))
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		expectConsistent(Default, a)
	})

	// Guards against queries that wait for servers of a zone that is known to be unreachable, or are sent to them.
	It("names the shards of an unreachable zone as missing at once", func() {
		unreachable := fakebackend.Script{Status: backend.StatusUnreachable, Delay: 250 * time.Millisecond}
		f := newFixtureWith(map[model.ServerName]fakebackend.Script{
			"s0-a": unreachable, "s0-b": unreachable, "s1-a": unreachable, "s1-b": unreachable,
		}, topology("s0-a", "s0-b", "s1-a", "s1-b"))
		f.search(context.Background(), 5*time.Second, 100)
		Expect(f.searcher.Dispatcher.ZoneUnreachable("far")).To(BeTrue())
		sent := f.connector.Queries("s0-a") + f.connector.Queries("s0-b")
		begin := time.Now()
		a := f.search(context.Background(), 5*time.Second, 100)
		Expect(time.Since(begin)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.Coverage.Missing).To(ConsistOf(model.ShardName("s0"), model.ShardName("s1")))
		Expect(f.connector.Queries("s0-a") + f.connector.Queries("s0-b")).To(Equal(sent))
		expectConsistent(Default, a)
	})

	// Guards against sub-requests that wait until their deadline for a server whose zone became unreachable meanwhile.
	It("sends a pending sub-request to another zone when its zone becomes unreachable", func() {
		unreachable := fakebackend.Script{Status: backend.StatusUnreachable, Delay: 250 * time.Millisecond}
		f := newFixtureWith(map[model.ServerName]fakebackend.Script{
			"s0-a": {Delay: time.Minute}, "s1-a": unreachable, "s2-a": unreachable, "s3-a": unreachable,
		}, topology("s0-a", "s1-a", "s2-a", "s3-a"))
		for _, near := range []model.ServerName{"s0-b", "s1-b", "s2-b", "s3-b"} {
			r := f.searcher.Dispatcher.Servers.Get(near)
			r.MarkLeaving(time.Now())
			time.AfterFunc(100*time.Millisecond, func() { r.ClearLeaving(time.Now()) })
		}
		begin := time.Now()
		a := f.search(context.Background(), 10*time.Second, 100)
		Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(f.connector.Queries("s0-a")).To(Equal(1))
	})

	// Guards against a slow replica that delays every query of its shard, and against hedged attempts that keep running.
	It("hedges a slow replica after the shard's own latency quantile and cancels the slower attempt", func() {
		f := newFixture(map[model.ServerName]fakebackend.Script{"s1-a": {Delay: 2 * time.Second}})
		for range 20 {
			a := f.search(context.Background(), 5*time.Second, 100)
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		}
		Expect(f.connector.Queries("s1-a")).To(BeNumerically("<", 20))
		Eventually(f.connector.Cancels).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against servers that continue working for a caller who has disconnected.
	It("cancels the attempts of a query whose caller has disconnected", func() {
		f := newFixture(bothReplicas("s1", fakebackend.Script{Delay: time.Minute}))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		f.search(ctx, time.Minute, 100)
		Eventually(f.connector.Cancels).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against a retry that uses a shard map that was installed after the query began.
	It("uses the same shard map until the query ends", func() {
		f := newFixture(bothReplicas("s1", fakebackend.Script{Status: backend.StatusLost, Times: 1, Delay: 100 * time.Millisecond}))
		moved := f.topology.Inventory
		moved.Services = slices.Clone(moved.Services)
		moved.Services[0].ShardMapEpoch = 2
		time.AfterFunc(20*time.Millisecond, func() {
			f.searcher.Dispatcher.Config.Install(model.NewTopology(2, moved, f.topology.Rules))
		})
		a := f.search(context.Background(), 5*time.Second, 100)
		Expect(f.searcher.Dispatcher.Config.Revision()).To(Equal(model.Revision(2)))
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(a.Epoch).To(Equal(model.ShardMapEpoch(1)))
	})

	// Guards against queries sent to a server that is about to stop.
	It("sends no query to a leaving server", func() {
		f := newFixture(nil)
		f.searcher.Dispatcher.Servers.Get("s1-a").MarkLeaving(time.Now())
		for range 20 {
			Expect(f.search(context.Background(), 5*time.Second, 100).Outcome).To(Equal(model.OutcomeComplete))
		}
		Expect(f.connector.Queries("s1-a")).To(BeZero())
	})

	// Guards against attempts that are queued for a server when it starts to leave and reach it as late as their deadline.
	It("does not send queued attempts to a server that has started to leave", suite.Bubbled(func() {
		f := newFixture(map[model.ServerName]fakebackend.Script{"s1-a": {Delay: 300 * time.Millisecond}})
		a, other := f.searcher.Dispatcher.Servers.Get("s1-a"), f.searcher.Dispatcher.Servers.Get("s1-b")
		other.MarkLeaving(time.Now())
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { f.search(context.Background(), 5*time.Second, 100) })
		}
		time.Sleep(50 * time.Millisecond)
		sent := f.connector.Queries("s1-a")
		a.MarkLeaving(time.Now())
		other.ClearLeaving(time.Now())
		wg.Wait()
		Expect(sent).To(BeNumerically(">", 0))
		Expect(sent).To(BeNumerically("<", 8), "some attempts were queued")
		Expect(f.connector.Queries("s1-a")).To(Equal(sent))
	}))

	// Guards against a query that is reported as not run although a server ran it.
	It("sends nothing for a request that it reports as not run", func() {
		f := newFixture(nil)
		f.searcher.Dispatcher.Admissions.Drain()
		a := f.search(context.Background(), time.Second, 100)
		Expect(a.Outcome).To(Equal(model.OutcomeNotRun))
		Expect(f.connector.TotalQueries()).To(BeZero())
	})

	It("asks for the common version in first attempts once shards have answered with different ones", func() {
		// Guards against a rollout of an index version during which every query is sent twice to half of its shards.
		f := newFixture(bothReplicas("s3", fakebackend.Script{Version: 2, Retained: []model.IndexVersion{1}}))
		svc := f.topology.Service(service)
		Expect(f.searcher.Dispatcher.PreferredVersion(svc, time.Now())).To(BeZero())
		for range 10 {
			Expect(f.search(context.Background(), 5*time.Second, 100).Outcome).To(Equal(model.OutcomeComplete))
		}
		Expect(f.searcher.Dispatcher.PreferredVersion(svc, time.Now())).To(Equal(model.IndexVersion(1)))
	})

	// Guards against an answer with more items than requested, or without the best ones.
	It("applies the limit over all shards and returns the items with the highest scores first", func() {
		f := newFixture(bothReplicas("s1", fakebackend.Script{Items: 10}))
		a := f.search(context.Background(), time.Second, 5)
		Expect(a.Items).To(HaveLen(5))
		for i := 1; i < len(a.Items); i++ {
			Expect(a.Items[i].Score).To(BeNumerically("<=", a.Items[i-1].Score))
		}
	})

	// Guards against combinations of faults, versions and shard map epochs for which an answer mixes versions or reports a wrong
	// coverage.
	It("never mixes versions or reports wrong coverage under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			scripts := map[model.ServerName]fakebackend.Script{}
			for i := range 8 {
				name := model.ServerName(fmt.Sprintf("s%d-%c", i/2, 'a'+i%2))
				s := fakebackend.Script{
					Status: backend.Status(rapid.IntRange(0, int(backend.StatusFailed)).Draw(t, "status")),
					Times:  rapid.IntRange(0, 2).Draw(t, "times"),
					Epoch:  model.ShardMapEpoch(rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "epoch")),
				}
				s.Version = model.IndexVersion(rapid.IntRange(1, 3).Draw(t, "version"))
				if s.Version > 1 && rapid.Bool().Draw(t, "retains") {
					s.Retained = []model.IndexVersion{s.Version - 1}
				}
				scripts[name] = s
			}
			f := newFixture(scripts)
			for range 2 {
				expectConsistent(NewWithT(t), f.search(context.Background(), 5*time.Second, 1000))
			}
		})
	})
})
