package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/quota"
	decision "oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestQuota(t *testing.T) { suite.Run(t, "./internal/command/quota") }

var errUnreachable = errors.New("quota_test: unreachable")

var allowance = decision.Allowance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// staleServing is how long an isolated node serves requests of the workspace.
const staleServing = 4750 * time.Millisecond

var zones = []model.ZoneSpec{{Name: "z0", Region: "r0"}, {Name: "z1", Region: "r0"}, {Name: "z2", Region: "r1"}}

// fleet is a simulated fleet of keepers, whose messages are delayed and lost. It runs in a bubble with a virtual clock.
type fleet struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	nodes []*node
	// lossRate is the fraction of messages that are lost, and maxDelay bounds their delay in one direction.
	lossRate float64
	maxDelay time.Duration
	// cutZone is cut off from the others until cutUntil, and the messages between cutPair until pairUntil.
	cutZone   model.AvailabilityZone
	cutUntil  time.Time
	cutPair   [2]model.InstanceID
	pairUntil time.Time
	// isolated is cut off from all others from isolatedAt until isolatedUntil. Its entry stays.
	isolated                  model.InstanceID
	isolatedAt, isolatedUntil time.Time
	admitted                  []time.Time
	asked                     int
	// limit is the newest one, which nodes have from their start.
	limit model.Quota
}

// node is one member of the fleet.
type node struct {
	f           *fleet
	member      model.Member
	keeper      *quota.Keeper
	routing     *model.Routing
	killed      bool
	pausedUntil time.Time
}

func newFleet(seed uint64, size int, limit model.Quota, lossRate float64) *fleet {
	f := &fleet{limit: limit, lossRate: lossRate, rnd: rand.New(rand.NewPCG(seed, 0)), maxDelay: 20 * time.Millisecond}
	for range size {
		f.add()
	}
	f.announce(0)
	return f
}

func routingWith(limit model.Quota) *model.Routing {
	workspaces := []model.Workspace{{Name: "w", Quota: limit}}
	return model.NewRouting(1, nil, nil, model.CallerLimits{}).WithWorkspaces(workspaces)
}

// add adds a new member.
func (f *fleet) add() {
	f.addRun(model.Member{
		Instance: model.InstanceID(fmt.Sprintf("d%02d", len(f.nodes))), Zone: zones[len(f.nodes)%len(zones)].Name,
		Protocol: model.ProtocolWorkspaces,
	})
}

// addRun adds a further run of a member.
func (f *fleet) addRun(m model.Member) {
	m.Address = fmt.Sprint(len(f.nodes))
	m.Incarnation++
	zone := zones[slices.IndexFunc(zones, func(z model.ZoneSpec) bool { return z.Name == m.Zone })]
	n := &node{f: f, routing: routingWith(f.limit), member: m}
	n.keeper = quota.New(quota.Config{
		Self: n.member, Region: zone.Region, Zones: zones, Allowance: allowance, StaleServing: staleServing, Routing: n.currentRouting,
		Unreachable: func(model.AvailabilityZone) bool { return false }, Peers: n, After: n.after, Now: time.Now, Log: zerolog.Nop(),
	})
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
}

// announce tells all nodes the living members, each after a random delay up to maxLag. Nodes that are cut off hear nothing.
func (f *fleet) announce(maxLag time.Duration) {
	var members []model.Member
	for _, n := range f.all() {
		if !n.isKilled() && !f.isCut(n.member.Zone) {
			members = append(members, n.member)
		}
	}
	for _, n := range f.all() {
		lag := f.random(maxLag)
		go func() {
			time.Sleep(lag)
			n.awaitResumed()
			if !n.isKilled() && !f.isCut(n.member.Zone) && !f.isIsolated(n) {
				n.keeper.SetMembers(members)
			}
		}()
	}
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

func (f *fleet) random(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rnd.Float64() * float64(limit))
}

func (f *fleet) isCut(zone model.AvailabilityZone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return zone == f.cutZone && time.Now().Before(f.cutUntil)
}

func (f *fleet) isIsolated(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolatedNow(n)
}

// isolatedNow is isIsolated for a caller that holds mu.
func (f *fleet) isolatedNow(n *node) bool {
	return n.member.Instance == f.isolated && time.Now().Before(f.isolatedUntil)
}

// refusesKeys reports whether the node has been isolated for so long that it does not know which keys are valid.
func (f *fleet) refusesKeys(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolatedNow(n) && time.Since(f.isolatedAt) >= staleServing
}

// close stops all nodes.
func (f *fleet) close() {
	for _, n := range f.all() {
		n.kill()
		n.keeper.Close()
	}
	time.Sleep(20 * time.Second)
}

// owner returns the living node that owns the workspace in the zone z0.
func (f *fleet) owner() *node {
	var members []model.Member
	byName := map[model.InstanceID]*node{}
	for _, n := range f.all() {
		if !n.isKilled() {
			members = append(members, n.member)
			byName[n.member.Instance] = n
		}
	}
	owner, _ := decision.Owner("w", decision.Owners(members)[zones[0].Name])
	return byName[owner.Instance]
}

func (n *node) kill() {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.killed = true
}

func (n *node) isKilled() bool {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.killed
}

func (n *node) pause(d time.Duration) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

// awaitResumed waits until the node is not paused.
func (n *node) awaitResumed() {
	for {
		n.f.mu.Lock()
		left := time.Until(n.pausedUntil)
		n.f.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (n *node) currentRouting() *model.Routing {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.routing
}

func (n *node) after(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		n.awaitResumed()
		if !n.isKilled() {
			f()
		}
	}()
}

// lost decides whether a message between two nodes is lost.
func (f *fleet) lost(a, b *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	cut := now.Before(f.cutUntil) && (a.member.Zone == f.cutZone) != (b.member.Zone == f.cutZone)
	pair := now.Before(f.pairUntil) && slices.Contains(f.cutPair[:], a.member.Instance) && slices.Contains(f.cutPair[:], b.member.Instance)
	alone := f.isolatedNow(a) || f.isolatedNow(b)
	return cut || pair || alone || f.rnd.Float64() < f.lossRate
}

// send calls handle at the node with the given address, with delays, and returns its reply. A paused node handles what waited for it
// when it resumes, although nobody waits for the reply any longer.
func send[R any](ctx context.Context, from *node, address string, handle func(*quota.Keeper) R) (R, error) {
	f := from.f
	to := f.all()[slices.IndexFunc(f.all(), func(n *node) bool { return n.member.Address == address })]
	var none R
	if to.isKilled() {
		return none, errUnreachable
	}
	reply := make(chan R, 1)
	if !f.lost(from, to) {
		go func() {
			time.Sleep(f.random(f.maxDelay))
			to.awaitResumed()
			if to.isKilled() {
				return
			}
			r := handle(to.keeper)
			time.Sleep(f.random(f.maxDelay))
			if !f.lost(from, to) {
				reply <- r
			}
		}()
	}
	defer from.awaitResumed()
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, errUnreachable
	}
}

// TakeQuota implements quota.Peers.
func (n *node) TakeQuota(ctx context.Context, address string, t peer.QuotaTake) (peer.QuotaTaken, error) {
	return send(ctx, n, address, func(k *quota.Keeper) peer.QuotaTaken { return k.HandleTake(&t) })
}

// request sends a request to the node and records it if it is admitted. notRun means that no server runs it.
func (n *node) request(notRun bool) {
	n.awaitResumed()
	if n.isKilled() || n.f.refusesKeys(n) {
		return
	}
	w := n.currentRouting().Workspace("w")
	d := n.keeper.Take(context.Background(), w)
	n.f.mu.Lock()
	n.f.asked++
	if d.Outcome == decision.Granted && !notRun {
		n.f.admitted = append(n.f.admitted, time.Now())
	}
	n.f.mu.Unlock()
	if notRun {
		go func() {
			time.Sleep(n.f.random(time.Second))
			n.keeper.Return(w, d)
		}()
	}
}

// load sends requests to random ones of the nodes, at a rate per second, for some time. A fraction of them is not run.
func (f *fleet) load(nodes []*node, rate, notRun float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / rate)) {
		n := nodes[f.random(time.Duration(len(nodes)))]
		failed := f.random(time.Second).Seconds() < notRun
		go n.request(failed)
	}
}

// worst returns the highest number of requests that were admitted in a window which begins at or after the given time.
func (f *fleet) worst(from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.admitted, time.Time.Compare)
	most, first := 0, 0
	for i, t := range f.admitted {
		for f.admitted[first].Before(from) && first < i {
			first++
		}
		for t.Sub(f.admitted[first]) >= allowance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound returns the most requests that may be admitted in a window.
func bound(limit model.Quota) int {
	quota := limit.Rate*allowance.Window.Seconds() + limit.Burst
	return int(quota*(1+allowance.Overage) + allowance.Slack)
}
