package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// servers is the number of servers in the far zone; each of two daemons owns some.
const servers = 8

// farZone is another zone with servers and daemons. While it is cut, nothing in it answers.
type farZone struct {
	*dispatch.Dispatcher
	forwarding *dispatch.Forwarding
	cut        atomic.Bool
	// distance is the round trip time to the zone's daemons.
	distance time.Duration
	probes   atomic.Int32
	executes atomic.Int32
}

// farServer is one server of the zone. While the zone is cut, connecting to it fails after bound.
type farServer struct {
	backend.Server
	zone  *farZone
	bound time.Duration
}

// Connect returns a server to which a connection is open if it is the first one, so that queries wait for a reply.
func (z *farZone) Connect(s *model.Server, _ int) backend.Server {
	bound := backend.DialTimeout
	if s.Name == "server-0" {
		bound = time.Minute
	}
	return &farServer{zone: z, bound: bound}
}

func (z *farZone) Forward(ctx context.Context, _ string, b forwarding.Batch) (forwarding.Receipt, error) {
	if len(b.Queries) == 0 {
		z.probes.Add(1)
	}
	time.Sleep(z.distance)
	return forwarding.Receipt{}, z.silence(ctx, time.Minute)
}

// silence returns an error after d or with ctx while the zone is cut, otherwise nil at once.
func (z *farZone) silence(ctx context.Context, d time.Duration) error {
	if !z.cut.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return errors.New("cut off")
}

func (s *farServer) Query(ctx context.Context, r backend.QueryRequest) backend.QueryResult {
	if s.zone.silence(ctx, s.bound) != nil {
		if ctx.Err() != nil {
			return backend.QueryResult{Status: backend.StatusCancelled}
		}
		return backend.QueryResult{Status: backend.StatusUnreachable}
	}
	return backend.QueryResult{Reply: backend.QueryReply{ID: r.ID, Version: 1}}
}

func (s *farServer) Execute(context.Context, backend.ExecuteRequest) backend.ExecuteResult {
	s.zone.executes.Add(1)
	return backend.ExecuteResult{}
}

func (s *farServer) Health(ctx context.Context) (backend.Health, error) {
	s.zone.probes.Add(1)
	return backend.Health{}, s.zone.silence(ctx, time.Minute)
}

func (s *farServer) Warm(context.Context) error { return nil }

func newFarZone(daemons ...model.Member) *farZone {
	z := &farZone{}
	z.cut.Store(true)
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: z}
	z.Dispatcher = dispatch.New(dispatch.Config{Zone: "near", Workers: 8}, config, recorder.Servers, recorder)
	recorder.Admissions, recorder.Budgets = z.Admissions, z.Budgets
	shard := model.ShardSpec{Name: "s", KeyTo: model.KeySpace}
	for i := range servers {
		shard.Servers = append(shard.Servers, model.ServerSpec{
			Name: model.ServerName(fmt.Sprint("server-", i)), Zone: "far", Slots: 1, Connections: 2, Address: "-",
		})
	}
	t := model.NewTopology(1, model.Inventory{
		MaxInstances: 2, Zones: []model.ZoneSpec{{Name: "far", Region: "r"}, {Name: "near", Region: "r"}},
		Services: []model.ServiceSpec{{Name: "search", ShardMapEpoch: 1, Shards: []model.ShardSpec{shard}}},
	}, model.Rules{})
	recorder.Adopt(t, time.Now())
	config.Install(t)
	owners := tables.NewOwners()
	owners.SetMembers(map[model.AvailabilityZone][]model.Member{"far": daemons}, time.Now())
	z.forwarding = z.EnableForwarding(dispatch.ForwardingConfig{
		Sender: z, Self: model.Member{Instance: "self", Zone: "near"}, Owners: owners,
		Draining: func() bool { return false },
	})
	DeferCleanup(z.Close)
	return z
}

// query starts one attempt at each of the servers, all with a deadline far off, and returns their results.
func (z *farZone) query() <-chan backend.QueryResult {
	results := make(chan backend.QueryResult, servers)
	for i := range servers {
		q := &dispatch.QueryAttempt{
			Server: z.Servers.Get(model.ServerName(fmt.Sprint("server-", i))),
			Request: backend.QueryRequest{
				ID:       backend.AttemptID{Request: "r", Attempt: uint32(i)},
				Deadline: time.Now().Add(time.Minute),
			},
			Done: func(_ *dispatch.QueryAttempt, r backend.QueryResult) { results <- r },
		}
		z.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
	}
	return results
}

func (z *farZone) unreachable() bool { return z.ZoneUnreachable("far") }

func (z *farZone) usable() int {
	shard := z.Config.Current().Service("search").Shards[0]
	candidates, _ := z.Candidates(nil, nil, dispatch.Selection{Shard: shard}, time.Now())
	n := 0
	for i := range candidates {
		if candidates[i].Usable || candidates[i].Probe {
			n++
		}
	}
	return n
}

var _ = Describe("a zone that is cut off", func() {
	daemons := []model.Member{
		{Instance: "far-0", Zone: "far", Address: "far-0"}, {Instance: "far-1", Zone: "far", Address: "far-1"},
	}

	// Guards against sub-requests that wait for their deadline, against a probe for each server, and against a zone that
	// stays unused after it healed.
	DescribeTable("gives up what is pending, is probed once at a time and is used again once it answers",
		func(members ...model.Member) {
			z := newFarZone(members...)
			results := z.query()
			moved := 0
			for range servers {
				var r backend.QueryResult
				Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
				if r.Status == backend.StatusZoneUnreachable {
					moved++
				}
			}
			Expect(moved).To(BeNumerically(">", 0))
			Expect(z.unreachable()).To(BeTrue())
			Expect(z.usable()).To(BeZero())
			time.Sleep(2 * time.Second)
			Expect(z.probes.Load()).To(BeNumerically("<=", 11), "two checks, then at least 250 ms apart")
			z.cut.Store(false)
			Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeFalse())
			Expect(z.usable()).To(Equal(servers))
		},
		Entry("with daemons that own its servers", daemons[0], daemons[1]),
		Entry("without daemons"),
	)

	// Guards against a non-idempotent request that is sent where no answer can come, which leaves its end unknown.
	It("gets no non-idempotent request", func() {
		z := newFarZone(daemons...)
		z.query()
		Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeTrue())
		end := z.Execute(context.Background(), &dispatch.ExecuteAttempt{
			Server: z.Servers.Get("server-0"), MaySend: func() bool { return true },
		})
		Expect(end.Result.Status.ProvablyNotRun()).To(BeTrue())
		Expect(z.executes.Load()).To(BeZero())
	})

	// Guards against results that are dropped because this daemon notices later than the other that the zone is back.
	It("is used again once one of its daemons sends a batch", func() {
		z := newFarZone(daemons...)
		z.query()
		Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeTrue())
		z.forwarding.Receive(forwarding.Batch{From: daemons[0]})
		Expect(z.unreachable()).To(BeFalse())
	})

	// Guards against queries that use up the open connections to each server before a zone with one daemon is judged.
	It("is noticed by probes where one daemon owns all servers", func() {
		z := newFarZone(daemons[0])
		z.query()
		Eventually(z.unreachable).WithTimeout(time.Second).Should(BeTrue())
	})

	// Guards against a judgement that a lost daemon brings about while the servers are well.
	It("is not given up for one lost daemon", func() {
		z := newFarZone(daemons[0])
		z.query()
		time.AfterFunc(100*time.Millisecond, func() { z.cut.Store(false) })
		Eventually(z.probes.Load).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		Consistently(z.unreachable).WithTimeout(time.Second).Should(BeFalse())
	})

	// Guards against bounds that hold the distance of one deployment's regions.
	It("is not given up for being far away", func() {
		z := newFarZone(daemons...)
		z.cut.Store(false)
		z.distance = 320 * time.Millisecond
		z.query()
		Eventually(func() time.Duration { return z.ZoneRoundTrip("far") }).WithTimeout(5 * time.Second).Should(BeNumerically(">=", z.distance))
		Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeFalse())
		results := z.query()
		Consistently(results).WithTimeout(time.Second).ShouldNot(Receive())
	})

	// Guards against a wrong judgement that lasts: the daemons are lost, their zone is not.
	It("is used again at once if its servers answer", func() {
		z := newFarZone(daemons...)
		z.query()
		time.AfterFunc(100*time.Millisecond, func() { z.cut.Store(false) })
		Eventually(z.probes.Load).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		Eventually(z.unreachable).WithTimeout(200 * time.Millisecond).Should(BeFalse())
	})
})
