package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
)

// readState is the state of the goroutine that reads the store or follows a daemon that does.
type readState struct {
	// synced is set after a complete read, from whose revision a watch can continue.
	synced bool
	// rereading is set from the loss of the history until a watch succeeds.
	rereading bool
	// readStoreNext makes the next call go to the store, since the followed daemon failed or the data is too old.
	readStoreNext bool
	// source is the daemon that is followed; empty if the store is read.
	source  model.InstanceID
	sources *gossip.SourceSelector
	// lostSince is when the first of the consecutive failed calls to the store failed; zero while calls succeed.
	lostSince time.Time
	backoff   time.Duration
	leaving   leavingExchange
	// failedSources counts the consecutive sources that failed.
	failedSources int
	// peersAsked counts the calls to peers while the store does not answer.
	peersAsked int
}

func (f *Follower) runStoreReads(ctx context.Context) {
	r := readState{backoff: minBackoff, sources: gossip.NewSourceSelector(f.deps.Self)}
	for ctx.Err() == nil {
		members := f.deps.Registry.Members()
		if source, ok := f.pickSource(&r, members); ok {
			f.followPeer(ctx, &r, source)
			continue
		}
		f.readStore(ctx, &r, len(members))
	}
}

// pickSource returns the daemon to follow, or false to read the store.
func (f *Follower) pickSource(r *readState, members []model.Member) (model.Member, bool) {
	if f.deps.Peers == nil || r.readStoreNext || !r.synced || !r.lostSince.IsZero() {
		return model.Member{}, false
	}
	source, ok := r.sources.Pick(members, time.Now())
	if source.Instance != r.source {
		r.source = source.Instance
		f.deps.Log.Info().Str("source", string(source.Instance)).Uint64("revision", uint64(f.deps.Registry.Position().Revision)).Msg("store_source")
	}
	return source, ok
}

func (f *Follower) readStore(ctx context.Context, r *readState, daemons int) {
	endQueries := f.startPeerQueries(ctx, r)
	u, err := f.readOnce(ctx, r, daemons)
	endQueries()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.handleStoreError(ctx, r, err)
		return
	}
	now := time.Now()
	f.handleStoreSuccess(r, now)
	if f.startsFrom(&u) {
		f.applyFirst(ctx, r, &u, now)
		return
	}
	f.dropOutdated(&u)
	changed := f.applyUpdate(&u, sourceStore, now)
	r.rereading = r.rereading && u.Complete
	r.synced = true
	if changed {
		pool.Sleep(ctx, f.deps.Freshness.ChangePause(daemons, r.readStoreNext))
	}
	r.readStoreNext = false
}

// readOnce reads everything, or the changes after the known revision. A reply that is late may have been lost with its connection,
// so the call is repeated on a new one before the store counts as lost.
func (f *Follower) readOnce(ctx context.Context, r *readState, daemons int) (registry.Update, error) {
	if !r.synced {
		return f.load(ctx)
	}
	fresh := f.deps.Freshness
	at, age := f.position()
	if !r.lostSince.IsZero() {
		return f.watch(ctx, gossip.MinWatchWait, fresh.StoreReplyTimeout())
	}
	if fresh.Old(age) {
		// What kept the updates of other daemons away may have silenced the connections to the store too.
		f.deps.Reader.Reconnect()
		return f.watch(ctx, gossip.MinWatchWait, fresh.StoreReplyTimeout())
	}
	wait := fresh.WatchWait(f.deps.Peers != nil && daemons > 1, age)
	wait = fresh.VerifyingWait(wait, at.VerifiedAge(f.deps.BootTime()))
	wait = fresh.SettlingWait(wait, f.AcknowledgedAge(), f.untilSettled())
	if r.readStoreNext {
		wait = gossip.MinWatchWait
	}
	u, err := f.watch(ctx, wait, fresh.LateWatchReply())
	if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
		return u, err
	}
	f.deps.Log.Info().Msg("store_connection_silent")
	f.deps.Reader.Reconnect()
	return f.watch(ctx, gossip.MinWatchWait, fresh.StoreReplyTimeout())
}

// handleStoreError handles a failed call to the store. If the store no longer has the changes after the known revision, the
// next call reads everything at once; otherwise it queries a peer and waits before the next call.
func (f *Follower) handleStoreError(ctx context.Context, r *readState, err error) {
	if errors.Is(err, registry.ErrHistoryLost) {
		f.deps.Log.Warn().Uint64("revision", uint64(f.deps.Registry.Position().Revision)).Msg("store_history_lost")
		if r.rereading {
			// The complete read did not help, so the next one must not follow without a pause.
			pool.Sleep(ctx, maxBackoff)
		}
		r.synced, r.rereading = false, true
		return
	}
	if r.lostSince.IsZero() {
		r.lostSince = time.Now()
		f.deps.Registry.SetStoreUnreachable(true)
		f.deps.Log.Warn().Err(err).Uint64("revision", uint64(f.deps.Registry.Position().Revision)).Msg("store_lost")
	}
	pause := r.backoff/2 + rand.N(r.backoff) //nolint:gosec // spreads calls
	r.backoff = min(2*r.backoff, f.maxStoreBackoff(r))
	f.queryPeer(ctx, r)
	f.pauseStoreReads(ctx, r, pause)
}

// pauseStoreReads waits and calls other daemons at intervals meanwhile. The time of these calls is part of the pause, which ends at most
// peerTimeout late: a daemon that reaches no other one must notice soon that the store answers again.
func (f *Follower) pauseStoreReads(ctx context.Context, r *readState, pause time.Duration) {
	end := time.Now().Add(pause)
	for {
		pool.Sleep(ctx, min(time.Until(end), f.peerQueryInterval()))
		if ctx.Err() != nil || !time.Now().Before(end) {
			return
		}
		f.queryPeer(ctx, r)
	}
}

// maxStoreBackoff returns the longest base of the delay between calls to a store that does not answer. The daemons that others
// follow call it often; the others hear from them when it answers again, and would only add to its load.
func (f *Follower) maxStoreBackoff(r *readState) time.Duration {
	members := f.deps.Registry.Members()
	if f.deps.Peers == nil || r.sources.Leads(members) {
		return maxBackoff
	}
	return min(maxFollowerBackoff, max(maxBackoff, time.Duration(len(members))*backoffPerDaemon))
}

func (f *Follower) handleStoreSuccess(r *readState, now time.Time) {
	r.backoff = minBackoff
	f.deps.Config.RecordStoreContact(now)
	if r.lostSince.IsZero() {
		return
	}
	f.deps.Registry.SetStoreRestored(now)
	f.deps.Registry.SetStoreUnreachable(false)
	f.deps.Log.Info().Dur("away", now.Sub(r.lostSince)).Msg("store_back")
	r.lostSince = time.Time{}
}
