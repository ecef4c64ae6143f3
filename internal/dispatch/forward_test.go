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

// node is the dispatcher of one daemon. It delivers batches directly to its peer, or fails to if failAll is set.
type node struct {
	*dispatch.Dispatcher
	forwarding *dispatch.Forwarding
	connector  *fakebackend.Connector
	owners     *tables.Owners
	self       model.Member
	peer       *node
	failAll    bool
	draining   bool
	// failNext is the number of batches whose delivery fails from now on.
	failNext atomic.Int32
	// received, unless nil, receives the batches that are delivered to this node.
	received chan forwarding.Batch
	// blockUntil, unless nil, blocks the delivery of batches until it is closed.
	blockUntil chan struct{}
	// batchSizes, unless nil, receives the number of queries of each batch that carries any.
	batchSizes chan int
}

// unresponsivePrefix is the prefix of the addresses of daemons that do not respond.
const unresponsivePrefix = "silent-"

func (n *node) Forward(ctx context.Context, address string, b forwarding.Batch) (forwarding.Receipt, error) {
	if strings.HasPrefix(address, unresponsivePrefix) {
		<-ctx.Done()
		return forwarding.Receipt{}, ctx.Err()
	}
	if n.blockUntil != nil {
		<-n.blockUntil
	}
	if n.failAll || n.failNext.Add(-1) >= 0 {
		return forwarding.Receipt{}, errors.New("connection failed")
	}
	if n.peer.received != nil {
		n.peer.received <- b
	}
	if len(b.Queries) > 0 && n.batchSizes != nil {
		n.batchSizes <- len(b.Queries)
	}
	return n.peer.forwarding.Receive(b), nil
}

func newNode(id model.InstanceID, script fakebackend.Script) *node {
	n, t := newNodeOf(id, script)
	n.Config.Install(t)
	return n
}

// newStartingNode returns a node that has applied its first Topology to the tables of servers and has not installed it yet.
func newStartingNode(id model.InstanceID, script fakebackend.Script) *node {
	n, _ := newNodeOf(id, script)
	return n
}

func newNodeOf(id model.InstanceID, script fakebackend.Script) (*node, *model.Topology) {
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
	recorder.ApplyTopology(t, time.Now())
	n.forwarding = n.EnableForwarding(dispatch.ForwardingConfig{
		Sender: n, Self: n.self, Owners: n.owners, Draining: func() bool { return n.draining },
	})
	return n, t
}

// newPair returns two nodes, of which the second one is the owner of the server in the views of both.
func newPair(script fakebackend.Script) (requester, owner *node) {
	requester, owner = newNode("requester", script), newNode("owner", script)
	requester.peer, owner.peer = owner, requester
	for _, n := range []*node{requester, owner} {
		n.owners.SetMembers(map[model.AvailabilityZone][]model.Member{"z": {owner.self}}, time.Now())
	}
	DeferCleanup(func() {
		requester.Close()
		owner.Close()
	})
	return requester, owner
}

func (n *node) startAttempt(attempt uint32, rank model.Rank, done func(backend.QueryResult)) *dispatch.QueryAttempt {
	q := n.newAttempt(attempt, rank, done)
	n.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
	return q
}

func (n *node) newAttempt(attempt uint32, rank model.Rank, done func(backend.QueryResult)) *dispatch.QueryAttempt {
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
	// Guards against a server that gets requests from many daemons, none of which knows its whole load.
	It("forwards a sub-request to the owner of its server and returns the owner's result", func() {
		requester, owner := newPair(fakebackend.Script{Version: 7})
		results := make(chan backend.QueryResult, 1)
		requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		Expect(r.Reply.Version).To(Equal(model.IndexVersion(7)))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
		Expect(requester.connector.Queries(serverName)).To(BeZero())
	})

	It("forwards attempts that start together to the same owner in as few batches as the batch size allows", func() {
		// Guards against a message for each sub-request of a fan-out.
		requester, _ := newPair(fakebackend.Script{})
		requester.batchSizes = make(chan int, 100)
		qs := make([]*dispatch.QueryAttempt, 100)
		for i := range qs {
			qs[i] = requester.newAttempt(uint32(i+1), model.RankUrgent, func(backend.QueryResult) {})
		}
		requester.StartQueries(context.Background(), qs, time.Now())
		var first, second int
		Eventually(requester.batchSizes).WithTimeout(5 * time.Second).Should(Receive(&first))
		Eventually(requester.batchSizes).WithTimeout(5 * time.Second).Should(Receive(&second))
		Expect([]int{first, second}).To(ConsistOf(64, 36))
	})

	It("returns a result while another sub-request of the same query is still in progress", func() {
		// Guards against results that are held back for an unlimited time to be batched with others.
		const delay = 500 * time.Millisecond
		requester, owner := newPair(fakebackend.Script{Delay: delay})
		results := make(chan backend.QueryResult, 2)
		requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		time.Sleep(delay * 3 / 5)
		slow := requester.startAttempt(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Reply.ID.Attempt).To(Equal(uint32(1)))
		Expect(owner.Servers.Get(serverName).Idle()).To(BeFalse())
		slow.Cancel()
	})

	It("ends attempts whose owner is lost, and sends later ones itself", func() {
		// Guards against queries that wait until their deadline after a daemon has failed.
		requester, owner := newPair(fakebackend.Script{})
		requester.failAll = true
		results := make(chan backend.QueryResult, 2)
		requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOwnerLost))
		requester.startAttempt(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		Expect(owner.connector.Queries(serverName)).To(BeZero())
	})

	It("delivers a result again if the delivery of its first batch failed", func() {
		// Guards against a query that waits until its deadline because the requesting daemon was paused when the owner sent
		// the result.
		requester, owner := newPair(fakebackend.Script{})
		owner.failNext.Store(1)
		results := make(chan backend.QueryResult, 1)
		requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
	})

	// Guards against sub-requests that are lost because the daemon that is to send them stops.
	It("forwards no further sub-requests to a daemon that is stopping, but returns the results of accepted ones", func() {
		requester, owner := newPair(fakebackend.Script{})
		owner.draining = true
		results := make(chan backend.QueryResult, 2)
		requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		Eventually(func() int {
			requester.startAttempt(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
			<-results
			return requester.connector.Queries(serverName)
		}).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against a first query that waits until connections between regions are open.
	It("connects to a daemon that may own servers before the first sub-request is forwarded there", func() {
		requester, owner := newPair(fakebackend.Script{})
		owner.received = make(chan forwarding.Batch, 2)
		requester.Preconnect([]model.Member{requester.self, owner.self})
		Eventually(owner.received).WithTimeout(5 * time.Second).Should(Receive(Equal(forwarding.Batch{From: requester.self})))
	})

	It("delivers the results of accepted sub-requests before it stops, and then refuses further ones", func() {
		// Guards against a daemon that stops with undelivered results, or that accepts sub-requests and never sends them. The
		// requesting daemon would wait until the deadline.
		requester, owner := newPair(fakebackend.Script{})
		owner.blockUntil = make(chan struct{})
		unblock := sync.OnceFunc(func() { close(owner.blockUntil) })
		DeferCleanup(unblock)
		results := make(chan backend.QueryResult, 2)
		requester.startAttempt(1, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(func() int { return owner.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
		stopped := make(chan struct{})
		go func() {
			owner.WaitForwarded(context.Background())
			close(stopped)
		}()
		Consistently(stopped).WithTimeout(100 * time.Millisecond).ShouldNot(BeClosed())
		unblock()
		Eventually(stopped).WithTimeout(5 * time.Second).Should(BeClosed())
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
		requester.startAttempt(2, model.RankUrgent, func(r backend.QueryResult) { results <- r })
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOwnerLost))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
	})

	// Guards against a failure on a result that arrives after its attempt has ended.
	It("drops a result for an attempt that is not pending", func() {
		requester, _ := newPair(fakebackend.Script{})
		requester.forwarding.Receive(forwarding.Batch{Results: []forwarding.Result{{ID: backend.AttemptID{Request: "late"}}}})
	})

	// Guards against an owner that goes on with a cancelled attempt, and against a slow server that appears fast because hedges
	// always complete first, so that its latency is never measured.
	It("cancels a forwarded attempt at the owner and counts its time toward the server's latency", func() {
		requester, owner := newPair(fakebackend.Script{Delay: time.Minute})
		q := requester.startAttempt(1, model.RankUrgent, func(backend.QueryResult) {})
		Eventually(func() int { return owner.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
		Expect(q.Cancel()).To(BeTrue())
		Eventually(owner.Servers.Get(serverName).Idle).WithTimeout(5 * time.Second).Should(BeTrue())
		var c routing.Candidate
		requester.Servers.Get(serverName).FillCandidate(&c, time.Now())
		Expect(c.Latency).To(BeNumerically(">", 0))
	})

	It("returns an attempt unsent if it is queued for too long", func() {
		// Guards against attempts that are queued behind a slow one while another replica is idle.
		requester, owner := newPair(fakebackend.Script{Delay: 2 * time.Second})
		requester.startAttempt(1, model.RankUrgent, func(backend.QueryResult) {})
		Eventually(func() int { return owner.connector.Queries(serverName) }).WithTimeout(5 * time.Second).Should(Equal(1))
		results := make(chan backend.QueryResult, 1)
		queued := &dispatch.QueryAttempt{
			Server:      requester.Servers.Get(serverName),
			Request:     backend.QueryRequest{ID: backend.AttemptID{Request: "w"}, Deadline: time.Now().Add(10 * time.Second)},
			BounceAfter: 20 * time.Millisecond,
			Done:        func(_ *dispatch.QueryAttempt, r backend.QueryResult) { results <- r },
		}
		requester.StartQueries(context.Background(), []*dispatch.QueryAttempt{queued}, time.Now())
		var r backend.QueryResult
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusBusy))
		Expect(owner.connector.Queries(serverName)).To(Equal(1))
	})

	It("delivers a batch without delay while many other daemons do not respond", func() {
		// Guards against too few senders, which would all wait for lost daemons or for the round trips of a large fleet.
		const unresponsive = 200
		requester, owner := newPair(fakebackend.Script{})
		results := make(chan backend.QueryResult, unresponsive+1)
		send := func(attempt uint32, target model.Member, done func(*dispatch.QueryAttempt, backend.QueryResult)) {
			q := &dispatch.QueryAttempt{
				Server: requester.Servers.Get(serverName), ForwardTo: target, Done: done,
				Request: backend.QueryRequest{
					ID: backend.AttemptID{Request: "m", Attempt: attempt}, Deadline: time.Now().Add(10 * time.Second),
					Message: &backend.Message{ID: "m"},
				},
			}
			requester.StartQueries(context.Background(), []*dispatch.QueryAttempt{q}, time.Now())
		}
		for i := range uint32(unresponsive) {
			name := fmt.Sprint(unresponsivePrefix, i)
			lost := model.Member{Instance: model.InstanceID(name), Zone: "z", Address: name}
			send(i, lost, func(*dispatch.QueryAttempt, backend.QueryResult) {})
		}
		send(unresponsive, owner.self, func(_ *dispatch.QueryAttempt, r backend.QueryResult) { results <- r })
		var r backend.QueryResult
		Eventually(results).WithTimeout(400 * time.Millisecond).Should(Receive(&r))
		Expect(r.Status).To(Equal(backend.StatusOK))
	})

	DescribeTable("holds a reply back to merge it with others for as long as the requesting daemon allows",
		// Guards against a fixed merge delay, which is short for one latency target but a large part of a shorter one.
		func(mergeWait time.Duration, firstBatch int) {
			// The server runs one request at a time.
			requester, owner := newPair(fakebackend.Script{Delay: 30 * time.Millisecond})
			requester.received = make(chan forwarding.Batch, 16)
			var qs []*dispatch.QueryAttempt
			for i := range uint32(2) {
				qs = append(qs, &dispatch.QueryAttempt{
					Server: requester.Servers.Get(serverName), ForwardTo: owner.self, MergeWait: mergeWait,
					Request: backend.QueryRequest{
						ID: backend.AttemptID{Request: "m", Attempt: i}, Deadline: time.Now().Add(10 * time.Second), Limit: 1,
						Message: &backend.Message{ID: "m"},
					},
					Done: func(*dispatch.QueryAttempt, backend.QueryResult) {},
				})
			}
			requester.StartQueries(context.Background(), qs, time.Now())
			var b forwarding.Batch
			Eventually(requester.received).WithTimeout(5 * time.Second).Should(Receive(&b))
			Expect(b.Results).To(HaveLen(firstBatch))
		},
		Entry("not at all", time.Duration(0), 1),
		Entry("until both replies are there", 5*time.Second, 2),
	)

	It("serves ranks by urgency at the owner, subject to their minimum shares", func() {
		// Guards against deferred requests that delay urgent ones at a server, and against the starvation of deferred
		// requests.
		requester, owner := newPair(fakebackend.Script{Delay: 5 * time.Millisecond})
		order := make(chan model.Rank, 200)
		for i := range uint32(40) {
			requester.startAttempt(i+1, model.RankDeferred, func(backend.QueryResult) { order <- model.RankDeferred })
			requester.startAttempt(i+1001, model.RankUrgent, func(backend.QueryResult) { order <- model.RankUrgent })
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
