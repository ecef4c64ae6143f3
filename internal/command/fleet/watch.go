package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
)

// ErrStale means that the store answered a watch with a version that was seen before.
var ErrStale = errors.New("fleet: stale answer from the store")

const (
	// watchWait is the mean wait of a watch, which costs the store one call.
	watchWait = 20 * time.Second
	// watchGrace is the time beyond its wait in which a watch must be answered.
	watchGrace = 5 * time.Second
	// minWatchInterval bounds the rate of watches when each is answered at once.
	minWatchInterval = 100 * time.Millisecond
	electionInterval = time.Second
	// coldReadAfter is when a daemon that is no relay and still has no configuration reads the store itself.
	coldReadAfter = 5 * time.Second
	// firstPeerWait is how long a daemon without a configuration waits for a peer's before it takes the store's.
	firstPeerWait = 3 * time.Second
)

// runWatch watches the head while this daemon is a relay, until ctx ends. It waits for the first list of members, so
// that daemons that start together do not all watch.
func (a *Agent) runWatch(ctx context.Context) {
	rnd := a.random()
	cold := a.started.Add(spread.Jittered(coldReadAfter, rnd))
	select {
	case <-a.listed:
	case <-ctx.Done():
	}
	a.awaitPeer(ctx)
	var seen platform.Version
	failures := 0
	for ctx.Err() == nil {
		begin := time.Now()
		wait, watching := a.watchFor(begin, cold, rnd)
		if !watching {
			pool.Pause(ctx, spread.Jittered(electionInterval, rnd))
			continue
		}
		version, err := a.watchOnce(ctx, seen, wait)
		seen = version
		if err != nil {
			failures++
			pool.Pause(ctx, spread.Backoff(failures, rnd)+minWatchInterval)
			continue
		}
		failures = 0
		pool.Pause(ctx, minWatchInterval-time.Since(begin))
	}
}

// awaitPeer waits for a first peer to tell of a revision that is in force, or for peers that have none themselves, for at most
// firstPeerWait, and not at all if no peer is known. A daemon keeps nothing over a restart, so that a stale replica of the store could make it put an earlier
// revision in force than it had before.
func (a *Agent) awaitPeer(ctx context.Context) {
	if len(a.Seeds) == 0 && len(a.Members.Snapshot(nil)) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstPeerWait)
	defer cancel()
	select {
	case <-a.informed:
	case <-ctx.Done():
	}
}

// watchFor returns how long to watch, and whether to do so at all.
func (a *Agent) watchFor(now, cold time.Time, rnd *rand.Rand) (time.Duration, bool) {
	if a.isRelay(now) {
		return spread.Jittered(watchWait, rnd), true
	}
	if a.Config.Revision() == 0 {
		return coldInterval, now.After(cold)
	}
	return coldInterval, spread.ShouldReadStore(a.Config.StoreContact(), now, rnd)
}

func (a *Agent) isRelay(now time.Time) bool {
	return spread.IsRelay(a.Members.Self(), a.Members.Snapshot(nil), now)
}

// watchOnce makes one watch and takes what it brings. It returns the version to watch from next.
func (a *Agent) watchOnce(ctx context.Context, seen platform.Version, wait time.Duration) (platform.Version, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	a.rewatch.Store(&cancel)
	e, err := a.Store.Watch(watchCtx, configdoc.KeyHead, seen, wait)
	a.noteStore(err)
	if errors.Is(err, platform.ErrNotFound) {
		return seen, nil
	}
	if err != nil {
		return seen, err
	}
	if err := a.takeHead(ctx, e.Value); err != nil && !errors.Is(err, ErrInvalid) {
		return seen, err
	}
	if e.Version <= seen {
		return seen, errors.Wrapf(ErrStale, "version %d after %d", e.Version, seen)
	}
	return e.Version, nil
}

// takeHead offers the value of the head and waits until it is processed.
func (a *Agent) takeHead(ctx context.Context, value []byte) error {
	o := offer{root: value, done: make(chan error, 1)}
	o.Root = model.RootHash(configdoc.HashOf(value))
	if root, err := configdoc.DecodeRoot(value); err == nil {
		o.Revision = root.Revision
	} else {
		// A head that cannot be decoded is processed as the next revision, which records why it is not in force.
		o.Revision = a.Config.Revision() + 1
	}
	select {
	case a.offers <- o:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// noteStore records whether the store answered, and logs when that changes.
func (a *Agent) noteStore(err error) {
	answered := err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict)
	if answered {
		a.Config.RecordStoreContact(time.Now())
	}
	if errors.Is(err, context.Canceled) || a.storeUp.Swap(answered) == answered {
		return
	}
	if answered {
		a.Log.Info().Msg("store_reached")
		return
	}
	a.Log.Warn().Err(err).Msg("store_unreachable")
}
