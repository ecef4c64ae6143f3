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
	"oleandersill.example/oleandersill/internal/testing/suite"
)

// servers is the number of servers in the remote zone. With two daemons, each owns some of them.
const servers = 8

// remoteZone is the dispatcher of a daemon and another zone that the dispatcher sends to. Its servers and daemons do not
// respond while it is partitioned.
type remoteZone struct {
	*dispatch.Dispatcher
	forwarding  *dispatch.Forwarding
	partitioned atomic.Bool
	// roundTrip is the round-trip time to the zone's daemons.
	roundTrip time.Duration
	probes    atomic.Int32
	executes  atomic.Int32
}

// remoteServer is one server of the zone. While the zone is partitioned, queries to it fail after failAfter.
type remoteServer struct {
	backend.Server
	zone      *remoteZone
	failAfter time.Duration
}

// Connect returns a client of the server. Queries to the first server wait for a reply as if a connection were open; those
// to the others fail after the dial timeout.
func (z *remoteZone) Connect(s *model.Server, _ int) backend.Server {
	failAfter := backend.DialTimeout
	if s.Name == "server-0" {
		failAfter = time.Minute
	}
	return &remoteServer{zone: z, failAfter: failAfter}
}

func (z *remoteZone) Forward(ctx context.Context, _ string, b forwarding.Batch) (forwarding.Receipt, error) {
	if len(b.Queries) == 0 {
		z.probes.Add(1)
	}
	time.Sleep(z.roundTrip)
	return forwarding.Receipt{}, z.call(ctx, time.Minute)
}

// call returns nil immediately unless the zone is partitioned. Otherwise it returns an error after d or when ctx is done.
func (z *remoteZone) call(ctx context.Context, d time.Duration) error {
	if !z.partitioned.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return errors.New("zone is partitioned")
}

func (s *remoteServer) Query(ctx context.Context, r backend.QueryRequest) backend.QueryResult {
	if s.zone.call(ctx, s.failAfter) != nil {
		if ctx.Err() != nil {
			return backend.QueryResult{Status: backend.StatusCancelled}
		}
		return backend.QueryResult{Status: backend.StatusUnreachable}
	}
	return backend.QueryResult{Reply: backend.QueryReply{ID: r.ID, Version: 1}}
}

func (s *remoteServer) Execute(context.Context, backend.ExecuteRequest) backend.ExecuteResult {
	s.zone.executes.Add(1)
	return backend.ExecuteResult{}
}

func (s *remoteServer) Health(ctx context.Context) (backend.Health, error) {
	s.zone.probes.Add(1)
	return backend.Health{}, s.zone.call(ctx, time.Minute)
}

func (s *remoteServer) Warm(context.Context) error { return nil }

func newRemoteZone(daemons ...model.Member) *remoteZone {
	z := &remoteZone{}
	z.partitioned.Store(true)
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
	recorder.ApplyTopology(t, time.Now())
	config.Install(t)
	owners := tables.NewOwners()
	owners.SetMembers(map[model.AvailabilityZone][]model.Member{"far": daemons}, time.Now())
	z.forwarding = z.EnableForwarding(dispatch.ForwardingConfig{
		Sender: z, Self: model.Member{Instance: "self", Zone: "near"}, Owners: owners,
		Draining: func() bool { return false },
	})
	suite.CloseAtEnd(z.Close)
	// Only calls that begin after the dispatcher, which counts as the zone's last reply, are evidence.
	time.Sleep(time.Millisecond)
	return z
}

// queryAll starts one attempt at each of the servers, with a deadline that is not reached in the test, and returns their
// results.
func (z *remoteZone) queryAll() <-chan backend.QueryResult {
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

func (z *remoteZone) unreachable() bool { return z.ZoneUnreachable("far") }

func (z *remoteZone) usableServers() int {
	shard := z.Config.Current().Service("search").Shards[0]
	candidates, _ := z.Candidates(nil, nil, dispatch.SelectionCriteria{Shard: shard}, time.Now())
	n := 0
	for i := range candidates {
		if candidates[i].Usable || candidates[i].Probe {
			n++
		}
	}
	return n
}

var _ = Describe("a zone that is partitioned", func() {
	daemons := []model.Member{
		{Instance: "far-0", Zone: "far", Address: "far-0"}, {Instance: "far-1", Zone: "far", Address: "far-1"},
	}

	// Guards against sub-requests that wait until their deadline, against one probe per server, and against a zone that is not
	// used again after the partition has healed.
	DescribeTable("ends pending attempts, gets one probe at a time and is used again once it responds",
		func(members ...model.Member) {
			suite.SpecInBubble(func() {
				z := newRemoteZone(members...)
				results := z.queryAll()
				endedUnreachable := 0
				for range servers {
					var r backend.QueryResult
					Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
					if r.Status == backend.StatusZoneUnreachable {
						endedUnreachable++
					}
				}
				Expect(endedUnreachable).To(BeNumerically(">", 0))
				Expect(z.unreachable()).To(BeTrue())
				Expect(z.usableServers()).To(BeZero())
				time.Sleep(2 * time.Second)
				Expect(z.probes.Load()).To(BeNumerically("<=", 11), "two confirming probes, then probes at least 250 ms apart")
				z.partitioned.Store(false)
				Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeFalse())
				Expect(z.usableServers()).To(Equal(servers))
			})
		},
		Entry("with daemons that own the servers", daemons[0], daemons[1]),
		Entry("without daemons"),
	)

	// Guards against a non-idempotent request that is sent to a zone from which no reply can arrive, so that its outcome is
	// unknown.
	It("is sent no non-idempotent request", suite.Bubbled(func() {
		z := newRemoteZone(daemons...)
		z.queryAll()
		Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeTrue())
		outcome := z.Execute(context.Background(), &dispatch.ExecuteAttempt{
			Server: z.Servers.Get("server-0"), MaySend: func() bool { return true },
		})
		Expect(outcome.Result.Status.ProvablyNotRun()).To(BeTrue())
		Expect(z.executes.Load()).To(BeZero())
	}))

	// Guards against dropped results for daemons of a zone that this daemon still considers unreachable although the partition
	// has healed.
	It("is used again once one of its daemons sends a batch", suite.Bubbled(func() {
		z := newRemoteZone(daemons...)
		z.queryAll()
		Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeTrue())
		z.forwarding.Receive(forwarding.Batch{From: daemons[0]})
		Expect(z.unreachable()).To(BeFalse())
	}))

	// Guards against queries that use up the open connections to each server before a zone with one daemon is marked
	// unreachable.
	It("is detected by probes if one daemon owns all servers", suite.Bubbled(func() {
		z := newRemoteZone(daemons[0])
		z.queryAll()
		Eventually(z.unreachable).WithTimeout(time.Second).Should(BeTrue())
	}))

	// Guards against a zone that is marked unreachable because of a lost daemon although its servers respond.
	It("is not marked unreachable for one lost daemon", suite.Bubbled(func() {
		z := newRemoteZone(daemons[0])
		z.queryAll()
		time.AfterFunc(100*time.Millisecond, func() { z.partitioned.Store(false) })
		Eventually(z.probes.Load).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		Consistently(z.unreachable).WithTimeout(time.Second).Should(BeFalse())
	}))

	// Guards against fixed timeouts that suit only the round-trip times between the regions of one deployment.
	It("is not marked unreachable for a long round-trip time", suite.Bubbled(func() {
		z := newRemoteZone(daemons...)
		z.partitioned.Store(false)
		z.roundTrip = 320 * time.Millisecond
		z.queryAll()
		Eventually(func() time.Duration { return z.ZoneRoundTrip("far") }).WithTimeout(5 * time.Second).Should(
			BeNumerically(">=", z.roundTrip))
		Eventually(z.unreachable).WithTimeout(5 * time.Second).Should(BeFalse())
		results := z.queryAll()
		Consistently(results).WithTimeout(time.Second).ShouldNot(Receive())
	}))

	// Guards against a zone that stays marked unreachable although only its daemons were lost.
	It("is used again immediately if its servers respond", suite.Bubbled(func() {
		z := newRemoteZone(daemons...)
		z.queryAll()
		time.AfterFunc(100*time.Millisecond, func() { z.partitioned.Store(false) })
		Eventually(z.probes.Load).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		Eventually(z.unreachable).WithTimeout(200 * time.Millisecond).Should(BeFalse())
	}))
})
