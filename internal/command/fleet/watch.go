package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
)

// ErrStale means that the store answered a watch with a version that is not newer than the last one.
var ErrStale = errors.New("fleet: stale answer from the store")

const (
	// watchWait is the mean wait of a watch. Each watch costs the store one call.
	watchWait = 20 * time.Second
	// watchReplyTimeout is the time beyond its wait within which a watch must be answered.
	watchReplyTimeout = 5 * time.Second
	// minWatchInterval limits the rate of watches when each is answered at once.
	minWatchInterval   = 100 * time.Millisecond
	relayCheckInterval = time.Second
	// unconfiguredReadDelay is the time after the start at which a daemon that is not a relay and has no configuration reads
	// the store itself.
	unconfiguredReadDelay = 5 * time.Second
	// firstPeerTimeout limits the wait of a daemon without a configuration for a peer's before it reads the store's.
	firstPeerTimeout = 3 * time.Second
)

// runWatch watches the head while this daemon is a relay, until ctx ends. It waits for the first list of members, so
// that daemons that start together do not all watch.
func (a *Agent) runWatch(ctx context.Context) {
	rnd := a.random()
	readAfter := a.started.Add(gossip.Jittered(unconfiguredReadDelay, rnd))
	select {
	case <-a.firstListDone:
	case <-ctx.Done():
	}
	a.awaitPeerAnswers(ctx)
	var lastVersion platform.Version
	failures := 0
	for ctx.Err() == nil {
		start := time.Now()
		wait, watching := a.watchDuration(start, readAfter, rnd)
		if !watching {
			pool.Sleep(ctx, gossip.Jittered(relayCheckInterval, rnd))
			continue
		}
		version, err := a.watchOnce(ctx, lastVersion, wait)
		lastVersion = version
		if err != nil {
			failures++
			pool.Sleep(ctx, gossip.Backoff(failures, rnd)+minWatchInterval)
			continue
		}
		failures = 0
		pool.Sleep(ctx, minWatchInterval-time.Since(start))
	}
}

// awaitPeerAnswers waits until a peer has reported a revision in force, or peers have reported that they have none, for at most
// firstPeerTimeout, and not at all if no peer is known. A daemon keeps no state across restarts, so a stale replica of the store
// could otherwise make it install an earlier revision than it had before.
func (a *Agent) awaitPeerAnswers(ctx context.Context) {
	if len(a.Seeds) == 0 && len(a.Members.Snapshot(nil)) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstPeerTimeout)
	defer cancel()
	select {
	case <-a.peersAnswered:
	case <-ctx.Done():
	}
}

// watchDuration returns how long to watch, and whether to watch at all.
func (a *Agent) watchDuration(now, readAfter time.Time, rnd *rand.Rand) (time.Duration, bool) {
	if a.isRelay(now) {
		return gossip.Jittered(watchWait, rnd), true
	}
	if a.Config.Revision() == 0 {
		return unconfiguredInterval, now.After(readAfter)
	}
	return unconfiguredInterval, gossip.ShouldReadStore(a.Config.StoreContact(), now, rnd)
}

func (a *Agent) isRelay(now time.Time) bool {
	return gossip.IsRelay(a.Members.Self(), a.Members.Snapshot(nil), now)
}

// watchOnce makes one watch call and offers the head that it returns. It returns the version to watch from next.
func (a *Agent) watchOnce(ctx context.Context, lastVersion platform.Version, wait time.Duration) (platform.Version, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchReplyTimeout)
	defer cancel()
	a.cancelWatch.Store(&cancel)
	e, err := a.Store.Watch(watchCtx, configdoc.KeyHead, lastVersion, wait)
	a.recordStoreResult(err)
	if errors.Is(err, platform.ErrNotFound) {
		return lastVersion, nil
	}
	if err != nil {
		return lastVersion, err
	}
	if err := a.offerHead(ctx, e.Value); err != nil && !errors.Is(err, ErrInvalid) {
		return lastVersion, err
	}
	if e.Version <= lastVersion {
		return lastVersion, errors.Wrapf(ErrStale, "version %d after %d", e.Version, lastVersion)
	}
	return e.Version, nil
}

// offerHead offers the value of the head and waits until it is processed.
func (a *Agent) offerHead(ctx context.Context, value []byte) error {
	o := offer{encodedRoot: value, done: make(chan error, 1)}
	o.Root = model.RootHash(configdoc.HashOf(value))
	if root, err := configdoc.DecodeRoot(value); err == nil {
		o.Revision = root.Revision
	} else {
		// A head that cannot be decoded is offered as the next revision, so that the reason for its rejection is recorded.
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

// recordStoreResult records whether the store answered, and logs when that changes.
func (a *Agent) recordStoreResult(err error) {
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
