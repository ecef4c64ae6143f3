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

// topology has four shards, s0 to s3, with two servers each, sN-a and sN-b. The named servers are in another zone than
// the daemon.
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

type bench struct {
	connector *fakebackend.Connector
	searcher  *scatter.Searcher
	topology  *model.Topology
}

func newBench(scripts map[model.ServerName]fakebackend.Script) *bench {
	return newBenchWith(scripts, topology())
}

func newBenchWith(scripts map[model.ServerName]fakebackend.Script, t *model.Topology) *bench {
	b := &bench{connector: fakebackend.New(scripts), topology: t}
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: b.connector}
	d := dispatch.New(dispatch.Config{Zone: "z", Region: "r", Workers: 16, Seed: 1}, config, recorder.Servers, recorder)
	recorder.Admissions, recorder.Budgets = d.Admissions, d.Budgets
	recorder.Adopt(b.topology, time.Now())
	config.Install(b.topology)
	b.searcher = &scatter.Searcher{Dispatcher: d, Instance: "i", Incarnation: 1}
	DeferCleanup(d.Close)
	return b
}

func (b *bench) search(ctx context.Context, deadline time.Duration, limit int) scatter.Answer {
	return b.searcher.Search(ctx, scatter.Request{
		Caller: "c", Service: b.topology.Service(service), Topology: b.topology, Limit: limit,
		Deadline: time.Now().Add(deadline),
	})
}

// expectTruthful checks that the answer's items come from one version and from exactly the shards that its coverage
// claims.
func expectTruthful(g Gomega, a scatter.Answer) {
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

func both(shard string, s fakebackend.Script) map[model.ServerName]fakebackend.Script {
	return map[model.ServerName]fakebackend.Script{
		model.ServerName(shard + "-a"): s, model.ServerName(shard + "-b"): s,
	}
}

var _ = Describe("Search", func() {
	DescribeTable("answers truthfully whatever a shard's servers do",
		func(scripts map[model.ServerName]fakebackend.Script, outcome model.Outcome, version int, missing ...string) {
			b := newBench(scripts)
			a := b.search(context.Background(), time.Second, 100)
			Expect(a.Outcome).To(Equal(outcome))
			Expect(a.Version).To(Equal(model.IndexVersion(version)))
			names := []string{}
			for _, m := range a.Coverage.Missing {
				names = append(names, string(m))
			}
			Expect(names).To(ConsistOf(missing))
			expectTruthful(Default, a)
		},
		Entry("no fault", nil, model.OutcomeComplete, 1),
		Entry("first attempts refused: the other replica answers",
			both("s1", fakebackend.Script{Status: backend.StatusUnreachable, Times: 1}), model.OutcomeComplete, 1),
		Entry("both replicas refused: the shard is named as missing",
			both("s1", fakebackend.Script{Status: backend.StatusUnreachable}), model.OutcomePartial, 1, "s1"),
		Entry("replies lost once: retried",
			both("s2", fakebackend.Script{Status: backend.StatusLost, Times: 1}), model.OutcomeComplete, 1),
		Entry("crossed replies only: missing, never merged",
			both("s2", fakebackend.Script{Status: backend.StatusMismatched}), model.OutcomePartial, 1, "s2"),
		Entry("both replicas shed", both("s0", fakebackend.Script{Status: backend.StatusShed}),
			model.OutcomePartial, 1, "s0"),
		Entry("both replicas draining", both("s0", fakebackend.Script{Status: backend.StatusDraining}),
			model.OutcomePartial, 1, "s0"),
		Entry("a shard is one version ahead and keeps the old one: asked again",
			both("s3", fakebackend.Script{Version: 2, Retained: []model.IndexVersion{1}}), model.OutcomeComplete, 1),
		Entry("a shard is one version ahead and dropped the old one: missing, never mixed",
			both("s3", fakebackend.Script{Version: 2}), model.OutcomePartial, 1, "s3"),
		Entry("a shard answers by another shard map: missing, never mixed",
			both("s3", fakebackend.Script{Epoch: 2}), model.OutcomePartial, 1, "s3"),
	)

	It("answers partially before the deadline when a shard is too slow", func() {
		// Guards against an answer that comes after the caller's deadline or claims full coverage.
		b := newBench(both("s1", fakebackend.Script{Delay: time.Minute}))
		begin := time.Now()
		a := b.search(context.Background(), 300*time.Millisecond, 100)
		Expect(time.Since(begin)).To(BeNumerically("<", 10*time.Second))
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		expectTruthful(Default, a)
	})

	// Guards against queries that wait for, or send to, servers of a zone that is known to be unreachable.
	It("names the shards of an unreachable zone as missing at once", func() {
		gone := fakebackend.Script{Status: backend.StatusUnreachable, Delay: 250 * time.Millisecond}
		b := newBenchWith(map[model.ServerName]fakebackend.Script{
			"s0-a": gone, "s0-b": gone, "s1-a": gone, "s1-b": gone,
		}, topology("s0-a", "s0-b", "s1-a", "s1-b"))
		b.search(context.Background(), 5*time.Second, 100)
		Expect(b.searcher.Dispatcher.ZoneUnreachable("far")).To(BeTrue())
		sent := b.connector.Queries("s0-a") + b.connector.Queries("s0-b")
		begin := time.Now()
		a := b.search(context.Background(), 5*time.Second, 100)
		Expect(time.Since(begin)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(a.Outcome).To(Equal(model.OutcomePartial))
		Expect(a.Coverage.Missing).To(ConsistOf(model.ShardName("s0"), model.ShardName("s1")))
		Expect(b.connector.Queries("s0-a") + b.connector.Queries("s0-b")).To(Equal(sent))
		expectTruthful(Default, a)
	})

	// Guards against sub-requests that wait until their deadline in a zone that was judged unreachable meanwhile.
	It("moves a sub-request that is pending in a zone when it becomes unreachable", func() {
		gone := fakebackend.Script{Status: backend.StatusUnreachable, Delay: 250 * time.Millisecond}
		b := newBenchWith(map[model.ServerName]fakebackend.Script{
			"s0-a": {Delay: time.Minute}, "s1-a": gone, "s2-a": gone, "s3-a": gone,
		}, topology("s0-a", "s1-a", "s2-a", "s3-a"))
		for _, near := range []model.ServerName{"s0-b", "s1-b", "s2-b", "s3-b"} {
			r := b.searcher.Dispatcher.Servers.Get(near)
			r.MarkLeaving(time.Now())
			time.AfterFunc(100*time.Millisecond, func() { r.ClearLeaving(time.Now()) })
		}
		begin := time.Now()
		a := b.search(context.Background(), 10*time.Second, 100)
		Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(b.connector.Queries("s0-a")).To(Equal(1))
	})

	It("hedges a slow replica after the shard's own quantile and cancels the loser", func() {
		b := newBench(map[model.ServerName]fakebackend.Script{"s1-a": {Delay: 2 * time.Second}})
		for range 20 {
			a := b.search(context.Background(), 5*time.Second, 100)
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		}
		Expect(b.connector.Queries("s1-a")).To(BeNumerically("<", 20))
		Eventually(b.connector.Cancels).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	It("stops work whose caller is gone", func() {
		b := newBench(both("s1", fakebackend.Script{Delay: time.Minute}))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		b.search(ctx, time.Minute, 100)
		Eventually(b.connector.Cancels).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against a retry that asks by a shard map put in force after the query began.
	It("keeps the shard map that it began with", func() {
		b := newBench(both("s1", fakebackend.Script{Status: backend.StatusLost, Times: 1, Delay: 100 * time.Millisecond}))
		moved := b.topology.Inventory
		moved.Services = slices.Clone(moved.Services)
		moved.Services[0].ShardMapEpoch = 2
		time.AfterFunc(20*time.Millisecond, func() {
			b.searcher.Dispatcher.Config.Install(model.NewTopology(2, moved, b.topology.Rules))
		})
		a := b.search(context.Background(), 5*time.Second, 100)
		Expect(b.searcher.Dispatcher.Config.Revision()).To(Equal(model.Revision(2)))
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(a.Epoch).To(Equal(model.ShardMapEpoch(1)))
	})

	// Guards against work sent to a server that is about to stop.
	It("sends no query to a leaving server", func() {
		b := newBench(nil)
		b.searcher.Dispatcher.Servers.Get("s1-a").MarkLeaving(time.Now())
		for range 20 {
			Expect(b.search(context.Background(), 5*time.Second, 100).Outcome).To(Equal(model.OutcomeComplete))
		}
		Expect(b.connector.Queries("s1-a")).To(BeZero())
	})

	// Guards against attempts that wait at a server when it starts to leave and reach it as late as their deadline.
	It("sends no query that waited at a server once that is leaving", func() {
		b := newBench(map[model.ServerName]fakebackend.Script{"s1-a": {Delay: 300 * time.Millisecond}})
		a, other := b.searcher.Dispatcher.Servers.Get("s1-a"), b.searcher.Dispatcher.Servers.Get("s1-b")
		other.MarkLeaving(time.Now())
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { b.search(context.Background(), 5*time.Second, 100) })
		}
		Eventually(func() int { return b.connector.Queries("s1-a") }).Should(BeNumerically(">", 0))
		time.Sleep(50 * time.Millisecond)
		a.MarkLeaving(time.Now())
		other.ClearLeaving(time.Now())
		sent := b.connector.Queries("s1-a")
		wg.Wait()
		Expect(sent).To(BeNumerically("<", 8), "some waited")
		Expect(b.connector.Queries("s1-a")).To(Equal(sent))
	})

	It("sends nothing for a request that it reports as not run", func() {
		b := newBench(nil)
		b.searcher.Dispatcher.Admissions.Drain()
		a := b.search(context.Background(), time.Second, 100)
		Expect(a.Outcome).To(Equal(model.OutcomeNotRun))
		Expect(b.connector.Total()).To(BeZero())
	})

	It("asks for the common version from the start once shards were seen to differ", func() {
		// Guards against a rollout in which every query asks half of its shards twice.
		b := newBench(both("s3", fakebackend.Script{Version: 2, Retained: []model.IndexVersion{1}}))
		svc := b.topology.Service(service)
		Expect(b.searcher.Dispatcher.PreferredVersion(svc, time.Now())).To(BeZero())
		for range 10 {
			Expect(b.search(context.Background(), 5*time.Second, 100).Outcome).To(Equal(model.OutcomeComplete))
		}
		Expect(b.searcher.Dispatcher.PreferredVersion(svc, time.Now())).To(Equal(model.IndexVersion(1)))
	})

	It("honours the limit over all shards, best first", func() {
		b := newBench(both("s1", fakebackend.Script{Items: 10}))
		a := b.search(context.Background(), time.Second, 5)
		Expect(a.Items).To(HaveLen(5))
		for i := 1; i < len(a.Items); i++ {
			Expect(a.Items[i].Score).To(BeNumerically("<=", a.Items[i-1].Score))
		}
	})

	It("never mixes versions or misstates coverage under random faults", func() {
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
			b := newBench(scripts)
			for range 2 {
				expectTruthful(NewWithT(t), b.search(context.Background(), 5*time.Second, 1000))
			}
		})
	})
})
