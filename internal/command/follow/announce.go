package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/directory"
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

// ownEntry is the state of the daemon's own entry in the store.
type ownEntry struct {
	// announced means that the entry was written under a lease that has not ended as far as is known. era is the era in which that
	// lease was granted.
	announced bool
	era       directory.Era
}

// runAnnouncements creates and renews the daemon's own entry in the store until ctx ends, and then removes it. After the store was
// restored it creates the entry again under a new lease.
func (f *Follower) runAnnouncements(ctx context.Context) {
	var own ownEntry
	for ctx.Err() == nil {
		known := f.era()
		own.announced = own.announced && own.era >= known
		wait := renewInterval
		if err := f.announceOnce(ctx, &own); err != nil {
			wait = announceRetryInterval
			if errors.Is(err, registry.ErrStoreRestored) {
				wait = randomAnnounceDelay()
			}
			f.deps.Log.Warn().Err(err).Bool("announced", own.announced).Msg("own_entry_not_renewed")
		}
		f.pauseAnnouncements(ctx, wait, max(known, own.era))
	}
	if !own.announced || own.era < f.era() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	if err := f.deps.Announcer.Withdraw(ctx); err != nil {
		f.deps.Log.Warn().Err(err).Msg("own_entry_not_withdrawn")
	}
}

// announceOnce renews the lease of the daemon's own entry, or writes the entry under a new one.
func (f *Follower) announceOnce(ctx context.Context, own *ownEntry) error {
	ctx, cancel := context.WithTimeout(ctx, f.deps.Freshness.StoreReplyTimeout())
	defer cancel()
	if own.announced {
		err := f.deps.Announcer.Renew(ctx)
		own.announced = !errors.Is(err, registry.ErrLeaseEnded) && !errors.Is(err, registry.ErrStoreRestored)
		return err
	}
	era, err := f.deps.Announcer.Announce(ctx, f.deps.Self, entryTTL)
	if err != nil {
		return err
	}
	if era < f.era() {
		return registry.ErrEarlierEra
	}
	own.announced, own.era = true, era
	return nil
}
