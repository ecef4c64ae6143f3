package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
)

const (
	// entryTTL is how long a daemon's entry remains after its last renewal. Entries serve to divide budgets and to find peers,
	// so a daemon that crashed may be counted for a while.
	entryTTL = 30 * time.Second
	// renewInterval allows two attempts within entryTTL.
	renewInterval = 12 * time.Second
	// announceRetryInterval is the time between attempts while the store does not answer.
	announceRetryInterval = 2 * time.Second
	// withdrawTimeout limits the removal of the entry at shutdown.
	withdrawTimeout = 300 * time.Millisecond
)

// runAnnouncements creates and renews the daemon's own entry in the store until ctx ends, and then removes it.
func (f *Follower) runAnnouncements(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		wait := renewInterval
		if err := f.announceOnce(ctx, announced); err != nil {
			announced = announced && !errors.Is(err, registry.ErrLeaseEnded)
			wait = announceRetryInterval
			f.deps.Log.Warn().Err(err).Bool("announced", announced).Msg("own_entry_not_renewed")
		} else {
			announced = true
		}
		pool.Sleep(ctx, wait)
	}
	if !announced {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	if err := f.deps.Announcer.Withdraw(ctx); err != nil {
		f.deps.Log.Warn().Err(err).Msg("own_entry_not_withdrawn")
	}
}

func (f *Follower) announceOnce(ctx context.Context, announced bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.deps.Freshness.StoreReplyTimeout())
	defer cancel()
	if announced {
		return f.deps.Announcer.Renew(ctx)
	}
	return f.deps.Announcer.Announce(ctx, f.deps.Self, entryTTL)
}
