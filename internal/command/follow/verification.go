package follow

import (
	"context"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
)

// agingQueryInterval is the pause between calls to other daemons while the verified age gets too high. If a single daemon
// reads the store, each call that finds newer data doubles the number of daemons that have it, so that all have it in time.
const agingQueryInterval = 20 * time.Millisecond

// KeysVerified reports whether the routing configuration in force is new enough for requests with keys. The key must be looked up
// afterwards, in the configuration then in force.
func (f *Follower) KeysVerified() bool {
	return f.deps.Freshness.KeysVerified(f.AcknowledgedAge())
}

// AcknowledgedAge returns how long ago a configuration newer than the one in force can have been acknowledged by the store at most, or
// gossip.UnknownAge. It grows during a pause of the process or of the machine too.
func (f *Follower) AcknowledgedAge() time.Duration {
	// The table is read before the clock, so that a later verification cannot make the age negative.
	at := gossip.Acknowledgement{At: f.deps.Registry.AcknowledgedInForce()}
	return at.Age(f.deps.BootTime())
}

// position returns the daemon's position, and its age to compare with the limits of Freshness.
func (f *Follower) position() (gossip.Position, time.Duration) {
	at := f.deps.Registry.Position()
	at.NeedsVerification = f.deps.Freshness.NeedsVerification()
	return at, f.age(at.ConfirmedAt, at)
}

// age returns the greater of the time since confirmedAt and the verified age of at, as limited by Freshness.
func (f *Follower) age(confirmedAt time.Time, at gossip.Position) time.Duration {
	return f.deps.Freshness.Age(time.Since(confirmedAt), at.VerifiedAge(f.deps.BootTime()))
}

// updateAge returns the age of a peer's data.
func (f *Follower) updateAge(u *registry.PeerUpdate) time.Duration {
	return f.age(u.ConfirmedAt, gossip.Position{VerifiedAt: u.VerifiedAt})
}

// load reads all entries of the store. A list of an earlier era than the known one counts as no answer.
func (f *Follower) load(ctx context.Context) (registry.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, f.deps.Freshness.StoreReplyTimeout())
	defer cancel()
	begin := f.deps.BootTime()
	u, err := f.deps.Reader.Load(ctx)
	if err == nil && u.Era < f.era() {
		return registry.Update{}, registry.ErrEarlierEra
	}
	u.VerifiedAt = begin
	u.EraKnownAt = f.deps.BootTime()
	return u, err
}

// watch waits for changes after the known revision. replyTimeout bounds the call in addition to wait.
func (f *Follower) watch(ctx context.Context, wait, replyTimeout time.Duration) (registry.Update, error) {
	// The store counts whole milliseconds.
	wait = wait.Truncate(time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	after := f.deps.Registry.Position().Point()
	begin := f.deps.BootTime()
	u, err := f.deps.Reader.Watch(ctx, after, wait)
	u.VerifiedAt = gossip.VerifiedByWatch(begin, f.deps.BootTime(), wait, u.Unchanged(after))
	return u, err
}

// peerQueryInterval is the pause between calls to other daemons while the store does not answer.
func (f *Follower) peerQueryInterval() time.Duration {
	if _, age := f.position(); f.deps.Freshness.NeedsVerification() && f.deps.Freshness.Aging(age) {
		return agingQueryInterval
	}
	return maxBackoff
}

// startPeerQueries calls other daemons in turn during a call to the store that may fail, if the verified age must stay low: after the
// call it could be too late. It also does while the store's content is not settled and keys are refused, since the others may know what
// the store has acknowledged. The function that it returns ends the calls and waits for the one in progress, which is not cancelled,
// since the connection to the other daemon would count as silent. Until then the calls change only r.peersAsked of r.
func (f *Follower) startPeerQueries(ctx context.Context, r *readState) (end func()) {
	_, age := f.position()
	fresh := f.deps.Freshness
	mayFail := !r.lostSince.IsZero() || fresh.Old(age)
	if !fresh.NeedsVerification() || !r.synced || (!mayFail && !f.lacksAcknowledgement()) {
		return func() {}
	}
	queries, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for queries.Err() == nil {
			f.queryPeer(ctx, r)
			pool.Sleep(queries, f.peerQueryInterval())
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// lacksAcknowledgement reports whether keys are refused because the store may have been restored lately.
func (f *Follower) lacksAcknowledgement() bool {
	return f.untilSettled() > 0 && !f.KeysVerified()
}

// untilSettled returns the time until the store's content includes all that was acknowledged before its present era; not above 0 if it
// does already.
func (f *Follower) untilSettled() time.Duration {
	settled := f.deps.Registry.SettledAt()
	return settled.Sub(f.deps.BootTime())
}

// dropOutdated removes the changes from a watch's update that another daemon has passed on meanwhile together with later ones.
func (f *Follower) dropOutdated(u *registry.Update) {
	if !u.Complete && u.Point().Before(f.deps.Registry.Position().Point()) {
		*u = registry.Update{Era: u.Era, Revision: u.Revision, VerifiedAt: u.VerifiedAt, Problems: u.Problems}
	}
}
