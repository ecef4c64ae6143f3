package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestDispatch(t *testing.T) { suite.Run(t, "./internal/dispatch") }

const serverName model.ServerName = "server"

// node is one daemon's dispatcher. Batches go straight to the other node unless cut is set.
type node struct {
	*dispatch.Dispatcher
	forwarding *dispatch.Forwarding
	connector  *fakebackend.Connector
	owners     *tables.Owners
	self       model.Member
	peer       *node
	cut        bool
	draining   bool
	// failing is the number of batches that fail from now on.
	failing atomic.Int32
	// received, unless nil, gets the batches that come here.
	received chan forwarding.Batch
	// gate, unless nil, holds up batches until it is closed.
	gate chan struct{}
	// sent lists the sizes of the batches that carried queries.
	sent chan int
}

// silentAddress begins the addresses of daemons that do not answer.
const silentAddress = "silent-"

func (n *node) Forward(ctx context.Context, address string, b forwarding.Batch) (forwarding.Receipt, error) {
	if strings.HasPrefix(address, silentAddress) {
		<-ctx.Done()
		return forwarding.Receipt{}, ctx.Err()
	}
	if n.gate != nil {
		<-n.gate
	}
	if n.cut || n.failing.Add(-1) >= 0 {
		return forwarding.Receipt{}, errors.New("cut off")
	}
	if n.peer.received != nil {
		n.peer.received <- b
	}
	if len(b.Queries) > 0 && n.sent != nil {
		n.sent <- len(b.Queries)
	}
	return n.peer.forwarding.Receive(b), nil
}

func newNode(id model.InstanceID, script fakebackend.Script) *node {
	n := &node{self: model.Member{Instance: id, Incarnation: 1, Zone: "z", Address: string(id)}, owners: tables.NewOwners()}
	n.connector = fakebackend.New(map[model.ServerName]fakebackend.Script{serverName: script})
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: n.connector}
	n.Dispatcher = dispatch.New(dispatch.Config{Zone: "z", Workers: 8}, config, recorder.Servers, recorder)
	recorder.Admissions, recorder.Budgets = n.Admissions, n.Budgets
	t := model.NewTopology(1, model.Inventory{
		MaxInstances: 2, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}},
		Services: []model.ServiceSpec{{Name: "search", ShardMapEpoch: 1, Shards: []model.ShardSpec{{
			Name: "s", KeyTo: model.KeySpace,
			Servers: []model.ServerSpec{{Name: serverName, Zone: "z", Slots: 1, Connections: 2, Address: "-"}},
		}}}},
	}, model.Rules{Ranks: []model.RankRule{{Rank: "deferred", MinShare: 0.2}}})
	recorder.Adopt(t, time.Now())
	config.Install(t)
	n.forwarding = n.EnableForwarding(dispatch.ForwardingConfig{
		Sender: n, Self: n.self, Owners: n.owners, Draining: func() bool { return n.draining },
	})
	return n
}

// newPair returns two nodes that agree that the second one owns the server.
func newPair(script fakebackend.Script) (asker, owner *node) {
	asker, owner = newNode("asker", script), newNode("owner", script)
	asker.peer, owner.peer = owner, asker
	for _, n := range []*node{asker, owner} {
		n.owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z": {owner.self}}, time.Now())
	}
	DeferCleanup(func() {
		asker.Close()
		owner.Close()
	})
	return asker, owner
}

func (n *node) start(attempt uint32, rank model.Rank, done func(backend.QueryResult)) *dispatch.QueryAttempt {
	q := n.attempt(attempt, rank, done)
	n.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
	return q
}

func (n *node) attempt(attempt uint32, rank model.Rank, done func(backend.QueryResult)) *dispatch.QueryAttempt {
	return &dispatch.QueryAttempt{
		Server: n.Servers.Get(serverName),
		Rank:   rank,
		Request: backend.QueryRequest{
			ID: backend.AttemptID{Request: "r", Incarnation: 1, Attempt: attempt}, Shard: "s", Limit: 1,
			Deadline: time.Now().Add(10 * time.Second),
		},
		Done: func(_ *dispatch.QueryAttempt, r backend.QueryResult) { done(r) },
	}
}

var _ = Describe("forwarding", func() {
	It("sends a sub-request through the owner of its server and returns the owner's result", func() {
		asker, owner := newPair(fakebackend.Script{Version: 7})
		results := make(chan backend.QueryResult, 1)
		asker.start(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		Expect(r.Reply.Version).To(Equal(model.IndexVersion(7)))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
		Expect(asker.connector.Queries(serverName)).To(BeZero())
	})

	It("sends attempts that start together and have one owner in as few batches as their size allows", func() {
		// Guards against a message for each sub-request of a fan-out.
		asker, _ := newPair(fakebackend.Script{})
		asker.sent = make(chan int, 100)
		qs := make([]*dispatch.QueryAttempt, 100)
		for i := range qs {
			qs[i] = asker.attempt(uint32(i+1), model.RankUrgent, func(backend.QueryResult) {})
		}
		asker.StartQueries(context.Background(), qs, time.Now())
		var first, second int
		Eventually(asker.sent).WithTimeout(5 * time.Second).Should(Receive(&first))
		Eventually(asker.sent).WithTimeout(5 * time.Second).Should(Receive(&second))
		Expect([]int{first, second}).To(ConsistOf(64, 36))
	})

	It("returns a result although another sub-request of its query takes long", func() {
		// Guards against results that are held back for others without a bound.
		const delay = 500 * time.Millisecond
		asker, owner := newPair(fakebackend.Script{Delay: delay})
		results := make(chan backend.QueryResult, 2)
		asker.start(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		time.Sleep(delay * 3 / 5)
		slow := asker.start(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Reply.ID.Attempt).To(Equal(uint32(1)))
		Expect(owner.Servers.Get(serverName).Idle()).To(BeFalse())
		slow.Cancel()
	})

	It("ends attempts whose owner is lost, and then sends from here", func() {
		// Guards against queries that wait for their deadline because a daemon died.
		asker, owner := newPair(fakebackend.Script{})
		asker.cut = true
		results := make(chan backend.QueryResult, 2)
		asker.start(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOwnerLost))
		asker.start(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		Expect(owner.connector.Queries(serverName)).To(BeZero())
	})

	It("delivers a result although the first batch that carried it failed", func() {
		// Guards against a query that waits for its deadline because its daemon was paused when the result came.
		asker, owner := newPair(fakebackend.Script{})
		owner.failing.Store(1)
		results := make(chan backend.QueryResult, 1)
		asker.start(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
	})

	It("gives a daemon that is stopping no further sub-requests, and serves those that it took", func() {
		asker, owner := newPair(fakebackend.Script{})
		owner.draining = true
		results := make(chan backend.QueryResult, 2)
		asker.start(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		Eventually(func() int {
			asker.start(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
			<-results
			return asker.connector.Queries(serverName)
		}).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against a first query that waits for connections between regions to be opened.
	It("reaches a daemon that may own servers before the first sub-request goes there", func() {
		asker, owner := newPair(fakebackend.Script{})
		owner.received = make(chan forwarding.Batch, 2)
		asker.Preconnect([]model.Member{asker.self, owner.self})
		Eventually(owner.received).WithTimeout(5 * time.Second).Should(Receive(Equal(forwarding.Batch{From: asker.self})))
	})

	It("delivers the results of what it took before it stops, and then refuses further sub-requests", func() {
		// Guards against a daemon that stops with results on their way, or that takes sub-requests which it never sends:
		// those who wait for them would wait for their deadline.
		asker, owner := newPair(fakebackend.Script{})
		owner.gate = make(chan struct{})
		open := sync.OnceFunc(func() { close(owner.gate) })
		DeferCleanup(open)
		results := make(chan backend.QueryResult, 2)
		asker.start(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(func() int { return owner.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
		stopped := make(chan struct{})
		go func() {
			owner.WaitForwarded(context.Background())
			close(stopped)
		}()
		Consistently(stopped).WithTimeout(100 * time.Millisecond).ShouldNot(BeClosed())
		open()
		Eventually(stopped).WithTimeout(5 * time.Second).Should(BeClosed())
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		asker.start(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOwnerLost))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
	})

	It("drops a result that nobody waits for", func() {
		asker, _ := newPair(fakebackend.Script{})
		asker.forwarding.Receive(forwarding.Batch{Results: []forwarding.Result{{ID: backend.AttemptID{Request: "late"}}}})
	})

	It("cancels at the owner what was cancelled here", func() {
		asker, owner := newPair(fakebackend.Script{Delay: time.Minute})
		q := asker.start(1, model.RankUrgent, func(backend.QueryResult) {})
		Eventually(func() int { return owner.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
		Expect(q.Cancel()).To(BeTrue())
		Eventually(owner.Servers.Get(serverName).Idle).WithTimeout(5 * time.Second).Should(BeTrue())
		// Guards against a slow server that looks fast because hedges always win against it.
		var c routing.Candidate
		asker.Servers.Get(serverName).FillCandidate(&c, time.Now())
		Expect(c.Latency).To(BeNumerically(">", 0))
	})

	It("hands back an attempt that waits for its server for too long, unsent", func() {
		// Guards against attempts that wait behind a straggler although another replica is idle.
		asker, owner := newPair(fakebackend.Script{Delay: 2 * time.Second})
		asker.start(1, model.RankUrgent, func(backend.QueryResult) {})
		Eventually(func() int { return owner.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
		results := make(chan backend.QueryResult, 1)
		waiting := &dispatch.QueryAttempt{
			Server:      asker.Servers.Get(serverName),
			Request:     backend.QueryRequest{ID: backend.AttemptID{Request: "w"}, Deadline: time.Now().Add(10 * time.Second)},
			BounceAfter: 20 * time.Millisecond,
			Done:        func(_ *dispatch.QueryAttempt, r backend.QueryResult) { results <- r },
		}
		asker.StartQueries(context.Background(), []*dispatch.QueryAttempt{waiting}, time.Now())
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusBusy))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
	})

	It("delivers a batch at once however many daemons do not answer", func() {
		// Guards against senders that all wait for daemons that were lost, or for the round trips of a large fleet.
		const silent = 200
		asker, owner := newPair(fakebackend.Script{})
		results := make(chan backend.QueryResult, silent+1)
		send := func(attempt uint32, through model.Member, done func(*dispatch.QueryAttempt, backend.QueryResult)) {
			q := &dispatch.QueryAttempt{
				Server: asker.Servers.Get(serverName), ForwardTo: through, Done: done,
				Request: backend.QueryRequest{
					ID: backend.AttemptID{Request: "m", Attempt: attempt}, Deadline: time.Now().Add(10 * time.Second),
					Message: &backend.Message{ID: "m"},
				},
			}
			asker.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
		}
		for i := range uint32(silent) {
			name := fmt.Sprint(silentAddress, i)
			lost := model.Member{Instance: model.InstanceID(name), Zone: "z", Address: name}
			send(i, lost, func(*dispatch.QueryAttempt, backend.QueryResult) {})
		}
		send(silent, owner.self, func(_ *dispatch.QueryAttempt, r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(400 * time.Millisecond).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
	})

	DescribeTable("holds a reply for others to be merged with as long as the asker allows",
		// Guards against a time that fits one latency target and is a large part of a shorter one.
		func(allowed time.Duration, together int) {
			// The server takes one request at a time.
			asker, owner := newPair(fakebackend.Script{Delay: 30 * time.Millisecond})
			asker.received = make(chan forwarding.Batch, 16)
			var qs []*dispatch.QueryAttempt
			for i := range uint32(2) {
				qs = append(qs, &dispatch.QueryAttempt{
					Server: asker.Servers.Get(serverName), ForwardTo: owner.self, MergeWait: allowed,
					Request: backend.QueryRequest{
						ID: backend.AttemptID{Request: "m", Attempt: i}, Deadline: time.Now().Add(10 * time.Second), Limit: 1,
						Message: &backend.Message{ID: "m"},
					},
					Done: func(*dispatch.QueryAttempt, backend.QueryResult) {},
				})
			}
			asker.StartQueries(context.Background(), qs, time.Now())
			var b forwarding.Batch
			Eventually(asker.received).WithTimeout(5 * time.Second).Should(Receive(&b))
			Expect(b.Results).To(HaveLen(together))
		},
		Entry("not at all", time.Duration(0), 1),
		Entry("for long", 5*time.Second, 2),
	)

	It("serves ranks by urgency at the owner, but for minimum shares", func() {
		// Guards against deferred work that holds up urgent work at a server, and against its starvation.
		asker, owner := newPair(fakebackend.Script{Delay: 5 * time.Millisecond})
		order := make(chan model.Rank, 200)
		for i := range uint32(40) {
			asker.start(i+1, model.RankDeferred, func(backend.QueryResult) { order <- model.RankDeferred })
			asker.start(i+1001, model.RankUrgent, func(backend.QueryResult) { order <- model.RankUrgent })
		}
		urgent, deferred := 0, 0
		for urgent < 40 {
			if <-order == model.RankUrgent {
				urgent++
			} else {
				deferred++
			}
		}
		Expect(deferred).To(And(BeNumerically(">=", 4), BeNumerically("<=", 20)))
		Expect(owner.connector.Queries(serverName)).To(BeNumerically(">=", 40))
	})
})
