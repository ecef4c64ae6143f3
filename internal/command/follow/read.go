package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
)

// reading is the state of the goroutine that reads the store or follows a daemon that does.
type reading struct {
	// synced tells that a complete read succeeded, so that a watch continues it.
	synced bool
	// direct tells that the next call goes to the store, since the daemon that was followed failed.
	direct bool
	// source is the daemon that was followed last; empty for the store.
	source  model.InstanceID
	sources *spread.SourceSelector
	// lost is when the first of the calls to the store that failed in a row did; zero while they succeed.
	lost  time.Time
	pause time.Duration
	// asked counts the peers that were asked while the store was lost.
	asked int
}

func (f *Follower) read(ctx context.Context) {
	r := reading{pause: firstPause, sources: spread.NewSourceSelector(f.deps.Self)}
	for ctx.Err() == nil {
		members := f.deps.Registry.Members()
		if source, ok := f.source(&r, members); ok {
			f.followPeer(ctx, &r, source)
			continue
		}
		f.readStore(ctx, &r, len(members))
	}
}

// source returns the daemon to follow, if the store is not to be read.
func (f *Follower) source(r *reading, members []model.Member) (model.Member, bool) {
	if f.deps.Peers == nil || r.direct || !r.synced || !r.lost.IsZero() {
		return model.Member{}, false
	}
	source, ok := r.sources.Pick(members, time.Now())
	if source.Instance != r.source {
		r.source = source.Instance
		f.deps.Log.Info().Str("source", string(source.Instance)).Uint64("revision", uint64(f.deps.Registry.Position().Revision)).Msg("store_source")
	}
	return source, ok
}

func (f *Follower) readStore(ctx context.Context, r *reading, daemons int) {
	u, err := f.readOnce(ctx, r, daemons)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.failed(ctx, r, err)
		return
	}
	now := time.Now()
	f.succeeded(r, now)
	changed := f.take(&u, sourceStore, now)
	r.synced = true
	if changed {
		pool.Pause(ctx, f.deps.Freshness.ChangePause(daemons, r.direct))
	}
	r.direct = false
}

func (f *Follower) readOnce(ctx context.Context, r *reading, daemons int) (registry.Update, error) {
	if !r.synced {
		ctx, cancel := context.WithTimeout(ctx, f.deps.Freshness.StoreReplyTimeout())
		defer cancel()
		return f.deps.Reader.Load(ctx)
	}
	wait := f.deps.Freshness.WatchWait(f.deps.Peers != nil && daemons > 1)
	if !r.lost.IsZero() || r.direct {
		wait = recoveryWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.deps.Freshness.StoreReplyTimeout())
	defer cancel()
	return f.deps.Reader.Watch(ctx, f.deps.Registry.Position().Revision, wait)
}

// failed records that a call to the store failed and waits before the next one.
func (f *Follower) failed(ctx context.Context, r *reading, err error) {
	if errors.Is(err, registry.ErrHistoryLost) {
		f.deps.Log.Warn().Uint64("revision", uint64(f.deps.Registry.Position().Revision)).Msg("store_history_lost")
		r.synced = false
		return
	}
	if r.lost.IsZero() {
		r.lost = time.Now()
		f.deps.Registry.SetStoreLost(true)
		f.deps.Log.Warn().Err(err).Uint64("revision", uint64(f.deps.Registry.Position().Revision)).Msg("store_lost")
	}
	f.askPeer(ctx, r)
	pool.Pause(ctx, r.pause/2+rand.N(r.pause)) //nolint:gosec // spreads calls
	r.pause = min(2*r.pause, longestPause)
}

func (f *Follower) succeeded(r *reading, now time.Time) {
	r.pause = firstPause
	f.deps.Config.RecordStoreContact(now)
	if r.lost.IsZero() {
		return
	}
	f.deps.Registry.SetStoreRestored(now)
	f.deps.Registry.SetStoreLost(false)
	f.deps.Log.Info().Dur("away", now.Sub(r.lost)).Msg("store_back")
	r.lost = time.Time{}
}
