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
