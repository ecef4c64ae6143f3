package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/registry"
)

const (
	// entryLife is how long a daemon's entry outlives its last renewal. The entry divides budgets and names a peer, so that
	// a daemon that is lost may be counted for a while.
	entryLife = 30 * time.Second
	// renewInterval leaves two tries within the entry's life.
	renewInterval = 12 * time.Second
	// announceRetry is the time between tries while the store does not answer.
	announceRetry = 2 * time.Second
	// withdrawBound bounds the removal of the entry at the end.
	withdrawBound = 300 * time.Millisecond
)

// announce keeps the daemon's own entry in the store, and removes it at the end.
func (f *Follower) announce(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		wait := renewInterval
		if err := f.announceOnce(ctx, announced); err != nil {
			announced = announced && !errors.Is(err, registry.ErrLeaseEnded)
			wait = announceRetry
			f.deps.Log.Warn().Err(err).Bool("announced", announced).Msg("own_entry_not_renewed")
		} else {
			announced = true
		}
		pool.Pause(ctx, wait)
	}
	if !announced {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawBound)
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
	return f.deps.Announcer.Announce(ctx, f.deps.Self, entryLife)
}
