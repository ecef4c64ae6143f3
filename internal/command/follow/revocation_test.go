package follow_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/registry"
)

const (
	revocationPeriod = 5 * time.Second
	// slowStoreDelay is 50 times the usual time of the store's replies.
	slowStoreDelay = 200 * time.Millisecond
)

var revocationBounds = platformBounds{
	configApply: 3 * time.Second, drain: 3 * time.Second, settled: minSettled, revocation: revocationPeriod,
}

// bootTime is the boot time of the daemon's machine on the virtual clock.
func (d *daemon) bootTime() boottime.Time {
	return boottime.Time(time.Now().UnixNano() + d.suspended.Load())
}

// keyState is the state of the only key. removedAt is when the store acknowledged its removal; zero while the key is configured. A
// restore that loses the removal does not change it: the period counts from the acknowledgement.
type keyState struct{ removedAt time.Time }

var callerKey = model.Digest("key")

func (k *keyState) addTo(r *model.Routing) *model.Routing {
	w := model.Workspace{Name: "w"}
	if k.removedAt.IsZero() {
		w.Keys = []model.KeyDigest{callerKey}
	}
	return r.WithWorkspaces([]model.Workspace{w})
}

// pauseState is a pause of a daemon: it neither sends nor receives messages, but replies that arrive are kept. It holds a
// context that ends with the pause, or nil.
type pauseState struct{ state atomic.Pointer[pause] }

type pause struct {
	ctx context.Context
	end context.CancelFunc
}

func (p *pauseState) active() bool { return p.state.Load() != nil }

func (p *pauseState) begin() {
	if !p.active() {
		ctx, end := context.WithCancel(context.Background())
		p.state.Store(&pause{ctx, end})
	}
}

func (p *pauseState) end() {
	if current := p.state.Swap(nil); current != nil {
		current.end()
	}
}

// await blocks until no pause is in progress or ctx ends.
func (p *pauseState) await(ctx context.Context) {
	if current := p.state.Load(); current != nil {
		select {
		case <-current.ctx.Done():
		case <-ctx.Done():
		}
	}
}

// reader is a daemon's reader of the store, which delays the replies of a slow store and those to a paused daemon.
type reader struct {
	*storeClient
	d *daemon
}

func (r reader) Load(ctx context.Context) (registry.Update, error) {
	return r.call(func() (registry.Update, error) { return r.storeClient.Load(ctx) })
}

func (r reader) Watch(ctx context.Context, after directory.Point, wait time.Duration) (registry.Update, error) {
	return r.call(func() (registry.Update, error) { return r.storeClient.Watch(ctx, after, wait) })
}

func (r reader) call(read func() (registry.Update, error)) (registry.Update, error) {
	r.d.paused.await(context.Background())
	u, err := read()
	r.d.sim.storeCalls.Add(1)
	time.Sleep(time.Duration(r.d.sim.storeDelay.Load()))
	r.d.paused.await(context.Background())
	return u, err
}

// answer answers another daemon's request. A pause may begin before the request is received and after the reply was made.
func (d *daemon) answer(ctx context.Context, req *peer.RegistryRequest) peer.RegistryReply {
	d.paused.await(ctx)
	received := d.bootTime()
	d.follower.ObserveLeaving(req.Leaving)
	req.StatesRouting = !d.sim.earlierVersions
	update := d.registry.AwaitUpdate(ctx, req.Position(time.Now(), received), req.Wait)
	reply := peer.NewRegistryReply(&update, time.Now())
	if req.NeedsVerification {
		reply.SetVerification(&update.Update, received, d.bootTime())
	}
	d.paused.await(ctx)
	if d.sim.earlierVersions {
		return withoutAcknowledgement(reply)
	}
	return reply
}

func (sim *simulation) performRevocation(kind int, d *daemon) {
	switch kind {
	case stepRemoveKey:
		if sim.keys.removedAt.IsZero() {
			sim.keys.removedAt = time.Now()
		}
		sim.configure()
	case stepRestoreKey:
		sim.keys.removedAt = time.Time{}
		sim.configure()
	case stepPause:
		d.paused.begin()
	case stepResume:
		sim.resume(d)
	case stepSlowStore:
		sim.storeDelay.Store(int64(slowStoreDelay))
	}
}

// resume ends a pause. The requests that are in the daemon's socket are checked before anything else.
func (sim *simulation) resume(d *daemon) {
	if d.paused.active() {
		sim.checkRevocation(d, time.Now())
		d.lastDisturbed = time.Now()
		d.paused.end()
	}
}

// checkRevocation checks a request with the key that was sent, and is looked up, at now.
func (sim *simulation) checkRevocation(d *daemon, now time.Time) {
	removedAt := sim.keys.removedAt
	age := now.Sub(removedAt)
	if sim.bounds.revocation == 0 || removedAt.IsZero() || age <= sim.bounds.revocation || !d.follower.KeysVerified() {
		return
	}
	if t := d.config.Current(); t != nil && t.Routing.Authenticate(callerKey) != nil {
		sim.violation = fmt.Sprintf("d%d serves a key %s after its removal", d.index, age)
	}
}

// unverified returns the running daemons that refuse requests with keys.
func (sim *simulation) unverified() (indexes []int) {
	for _, d := range sim.daemons {
		if !d.paused.active() && !d.follower.KeysVerified() {
			indexes = append(indexes, d.index)
		}
	}
	return indexes
}

// storeReader returns the daemon that reads the store for the others.
func (sim *simulation) storeReader() *daemon {
	var members []model.Member
	for _, d := range sim.daemons {
		members = append(members, member(d.index))
	}
	for _, d := range sim.daemons {
		if _, follows := gossip.NewSourceSelector(member(d.index)).Pick(members, time.Now()); !follows {
			return d
		}
	}
	return nil
}

// TestRevocation guards against a key that is served later than the period after its removal, in any order of changes, pauses,
// partitions, silent connections, restarts and faults of the store.
func TestRevocation(t *testing.T) {
	lockorder.EnableCheck()
	rapid.Check(t, func(rt *rapid.T) {
		steps := []step{{kind: stepRestoreKey, pause: minSettled}}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			steps = append(steps, step{
				kind: rapid.IntRange(stepFault, revocationStepKinds-1).Draw(rt, "kind"), target: rapid.IntRange(0, 5).Draw(rt, "target"),
				pause: time.Duration(rapid.IntRange(0, 25).Draw(rt, "pause")) * checkInterval,
			})
		}
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = run(steps, 4, revocationBounds) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// busyRun runs a fleet whose store changes after each interval and answers slowly, and whose reader is paused. It returns the number
// of reads of the store, and the daemons that refused requests with keys at any time.
func busyRun(t *testing.T, bounds platformBounds, interval time.Duration) (storeCalls int64, unverified []int) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(8, bounds)
		sim.advance(minSettled)
		sim.storeDelay.Store(int64(slowStoreDelay))
		sim.storeCalls.Store(0)
		for n := range 30 {
			if n == 10 {
				sim.storeReader().paused.begin()
			}
			sim.configure()
			for end := time.Now().Add(interval); time.Now().Before(end); {
				sim.advance(checkInterval)
				unverified = append(unverified, sim.unverified()...)
			}
		}
		sim.perform(step{kind: stepHeal})
		storeCalls = sim.storeCalls.Load()
		sim.close()
	})
	return storeCalls, unverified
}

// TestVerifiedWithSlowStore guards against refusals, or additional calls to the store, while the store answers 50 times slower than
// usual and the daemon that reads it for the others is lost.
func TestVerifiedWithSlowStore(t *testing.T) {
	without := revocationBounds
	without.revocation = 0
	for interval := checkInterval; interval < 3*time.Second; interval += checkInterval {
		before, _ := busyRun(t, without, interval)
		calls, unverified := busyRun(t, revocationBounds, interval)
		t.Logf("a change each %s: %d calls to the store, %d without a revocation period", interval, calls, before)
		if len(unverified) > 0 {
			t.Errorf("daemons refused keys: %v", unverified)
		}
		if float64(calls) > 1.1*float64(before) {
			t.Error("more calls to the store than without a revocation period")
		}
	}
}

// TestVerifiedByOneReader guards against refusals while a single daemon reaches the store, and against a daemon that serves keys once none
// does.
func TestVerifiedByOneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(20, revocationBounds)
		sim.advance(minSettled)
		for _, d := range sim.daemons[1:] {
			d.disturb(storeUnresponsive)
		}
		for range 150 {
			sim.advance(checkInterval)
			if refusing := sim.unverified(); len(refusing) > 0 {
				t.Fatalf("daemons %v refuse keys although one reads the store", refusing)
			}
		}
		sim.daemons[0].disturb(storeUnresponsive)
		sim.advance(revocationPeriod)
		if refusing := sim.unverified(); len(refusing) != len(sim.daemons) {
			t.Errorf("only daemons %v refuse keys after the period", refusing)
		}
		sim.close()
	})
}

// TestSuspendedDaemon guards against a daemon that serves what waited in its sockets while its machine was suspended, during which
// the monotonic clock stands still, and against a first read that counts as fresh when its reply arrives.
func TestSuspendedDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(2, revocationBounds)
		sim.advance(minSettled)
		for _, d := range sim.daemons {
			d.suspended.Add(int64(revocationPeriod))
			if d.follower.KeysVerified() {
				t.Errorf("d%d serves a key right after it was suspended for the period", d.index)
			}
		}
		// A read of all entries is as old as its begin when its reply arrives.
		const delay = 4 * checkInterval
		sim.storeDelay.Store(int64(delay))
		begin := boottime.Time(time.Now().UnixNano())
		sim.perform(step{kind: stepKill})
		sim.advance(delay)
		if at := sim.daemons[0].registry.Position().VerifiedAt; at > begin {
			t.Errorf("verified %s after the read began", at.Sub(begin))
		}
		sim.close()
	})
}

// TestChangesOfDaemonWithStoreOnly guards against a daemon that does not notice that the store answers again, since it keeps calling
// other daemons that do not answer.
func TestChangesOfDaemonWithStoreOnly(t *testing.T) {
	for _, fault := range []storeFault{storeRefusing, storeUnresponsive} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(4, revocationBounds)
			sim.advance(minSettled)
			isolated := sim.daemons[2]
			isolated.partitioned.Store(true)
			isolated.disturb(fault)
			sim.advance(2 * revocationPeriod)
			isolated.disturb(storeHealthy)
			sim.configure()
			sim.advance(minSettled)
			if v := isolated.config.Current().Routing.Version; v != sim.version {
				t.Errorf("fault %d: version %d in force %s after the store answered again, not %d", fault, v, minSettled, sim.version)
			}
			sim.close()
		})
	}
}
