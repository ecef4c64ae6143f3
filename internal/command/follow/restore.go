package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
)

// announceSpread is the time over which the daemons of a fleet write their entries again after the store was restored. It is shorter
// than directory.RestoreGrace, for which other daemons keep a missing entry.
const announceSpread = 800 * time.Millisecond

func logRestored(log *zerolog.Logger, u *registry.Update, before *directory.Point) {
	log.Warn().Uint64("era", uint64(u.Era)).Uint64("old_era", uint64(before.Era)).Uint64("old_revision", uint64(before.Revision)).
		Uint64("revision", uint64(u.Revision)).Msg("store_restored")
}

// era returns the latest known era of the store.
func (f *Follower) era() directory.Era { return f.deps.Registry.Position().Era }

const (
	// maxStartQueries is how many other daemons a daemon asks, one after the other, before it uses what it has read of a store that may
	// have been restored. Usually the first one answers.
	maxStartQueries = 3
	// startQueriesTimeout limits these calls together, so that a daemon that reaches no other one starts without much delay.
	startQueriesTimeout = peerTimeout
)

// startsFrom reports whether an update is the first that this daemon knows of a store that states its era, and so may have been
// restored at any time before.
func (f *Follower) startsFrom(u *registry.Update) bool {
	return u.Complete && u.Era > 0 && f.deps.Registry.Position().Point() == (directory.Point{})
}

// applyFirst applies the first complete read of a daemon that knows nothing yet, and then what another daemon knows, before the
// configuration is put in force. The store may have been restored from a copy that lacks what it had acknowledged, and only daemons
// that were running before know that.
func (f *Follower) applyFirst(ctx context.Context, r *readState, u *registry.Update, readAt time.Time) {
	changed := f.applyWithoutInstall(u, sourceStore, readAt)
	r.synced = true
	answered := f.askAtStart(ctx, r)
	f.deps.Log.Info().Uint64("era", uint64(u.Era)).Bool("peer_answered", answered).Bool("keys_known", !f.lacksAcknowledgement()).
		Dur("settled_in", max(0, f.untilSettled())).Msg("store_era_checked")
	f.signalApplied(u, changed)
}

// askAtStart asks other daemons until one answers that knows what was acknowledged, if that is needed, and reports whether one answered.
func (f *Follower) askAtStart(ctx context.Context, r *readState) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, startQueriesTimeout)
	defer cancel()
	for n := 0; n < maxStartQueries && ctx.Err() == nil; n++ {
		answered = f.queryPeer(ctx, r) || answered
		if answered && !f.lacksAcknowledgement() {
			break
		}
	}
	return answered
}

// pauseAnnouncements returns after wait, or a short random time after the known era has risen above the given one.
func (f *Follower) pauseAnnouncements(ctx context.Context, wait time.Duration, era directory.Era) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for f.era() <= era {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.eraChanged:
		}
	}
	pool.Sleep(ctx, randomAnnounceDelay())
}

func randomAnnounceDelay() time.Duration {
	return rand.N(announceSpread) //nolint:gosec // spreads calls
}
