package tables

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// maxLoggedUpdates is the number of updates kept for the daemons that follow this one. A daemon that is further behind gets
// the complete content.
const maxLoggedUpdates = 256

// updateLog keeps the latest updates, so that a daemon that follows this one receives only what it lacks.
type updateLog struct {
	// base is the revision since which all changes are in updates.
	base    directory.Revision
	updates []registry.Update
	// changed is closed and replaced when an update was applied, or when storeUnreachable was set.
	changed chan struct{}
	// storeRestored is when the store last answered again after a failure.
	storeRestored time.Time
	// storeUnreachable means that the store does not answer this daemon.
	storeUnreachable bool
}

// add keeps an update. before is the table's revision before the update.
func (l *updateLog) add(u *registry.Update, before directory.Revision) {
	switch {
	case u.Complete:
		l.base, l.updates = max(before, u.Revision), nil
	case u.Routing != nil || len(u.Servers)+len(u.Members)+len(u.Evacuations) > 0:
		kept := *u
		kept.Routing = l.takeNewestRouting(u.Routing)
		l.updates = append(l.updates, kept)
	}
	if len(l.updates) > maxLoggedUpdates {
		l.base = l.updates[0].Revision
		l.updates = append([]registry.Update(nil), l.updates[1:]...)
	}
}

// takeNewestRouting returns the newest of an added routing configuration, which may be nil, and those of the kept updates. It removes
// the others: a daemon that lacks them lacks the newest one too, and a version with many workspaces takes several megabytes.
func (l *updateLog) takeNewestRouting(added *model.Routing) *model.Routing {
	if added == nil {
		return nil
	}
	newest := added
	for i := range l.updates {
		if r := l.updates[i].Routing; r != nil && r.Version > newest.Version {
			newest = r
		}
		l.updates[i].Routing = nil
	}
	return newest
}

// since returns the combined updates after a revision, or false if they are not all kept.
func (l *updateLog) since(after directory.Revision) (registry.Update, bool) {
	var out registry.Update
	if after < l.base {
		return out, false
	}
	for i := range l.updates {
		u := &l.updates[i]
		if u.Revision <= after {
			continue
		}
		if u.Routing != nil {
			out.Routing = u.Routing
		}
		for _, e := range u.Servers {
			if e.Revision > after {
				out.Servers = append(out.Servers, e)
			}
		}
		out.Members = append(out.Members, u.Members...)
		out.Evacuations = append(out.Evacuations, u.Evacuations...)
	}
	return out, true
}

// notify wakes the calls of AwaitUpdate that wait.
func (l *updateLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// AwaitUpdate returns what a daemon that follows this one lacks. It blocks until this table is ahead of the follower's
// position, which includes a later verification if the follower needs one, more servers are marked as leaving, or the store is
// unreachable from this daemon. It does not wait if this table is of an earlier era than the follower's. After wait, or when ctx ends,
// it returns what there is.
func (t *Registry) AwaitUpdate(ctx context.Context, follower gossip.Position, wait time.Duration) registry.PeerUpdate {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		u, changed := t.updatesAfter(follower)
		local := gossip.Position{
			Era: u.Era, Revision: u.Revision, ConfirmedAt: u.ConfirmedAt, VerifiedAt: u.VerifiedAt, Acknowledged: u.Acknowledged,
		}
		if u.StoreUnreachable || u.Era < follower.Era || local.AheadOf(follower) || len(u.Leaving) > 0 || ctx.Err() != nil {
			return u
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// updatesAfter returns what a daemon at the given position lacks, and a channel that is closed when there may be more.
func (t *Registry) updatesAfter(at gossip.Position) (registry.PeerUpdate, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.updateAfter(at.Point())
	u.Era, u.Revision, u.VerifiedAt = t.era, t.revision, t.verification.At()
	u.EraKnownAt, u.Acknowledged = t.verification.EraKnownAt(), t.acknowledgement()
	if at.Era <= t.era && at.Acknowledged.Version < t.routingVersion() {
		// A configuration that is kept over a restore of the store is not among the updates of the era.
		u.Routing = t.routing
	}
	leaving, upTo := t.servers.LeavingAfter(at.Leaving, registry.MaxLeaving)
	return registry.PeerUpdate{
		Update: u, Leaving: leaving, LeavingUpTo: upTo,
		ConfirmedAt: t.confirmedAt, StoreRestoredAt: t.log.storeRestored, StoreUnreachable: t.log.storeUnreachable,
	}, t.log.changed
}

// updateAfter returns the update from a point to the table's state: the kept updates, or the complete content if they do not begin
// at or before that point. A daemon of a later era needs nothing.
func (t *Registry) updateAfter(at directory.Point) registry.Update {
	if at.Era > t.era {
		return registry.Update{}
	}
	if at.Era == t.era {
		if u, kept := t.log.since(at.Revision); kept {
			return u
		}
	}
	return t.fullUpdate()
}

// fullUpdate returns the complete table as an update. Servers and daemons whose entries are not in the store are left out.
func (t *Registry) fullUpdate() registry.Update {
	u := registry.Update{Complete: true, Routing: t.routing}
	for _, e := range t.servers.Entries() {
		u.Servers = append(u.Servers, registry.ServerEntry{
			Name: e.Registration.Name, Revision: e.Revision, Registration: e.Registration, Sequence: e.Sequence,
		})
	}
	for _, m := range t.members {
		if _, missing := t.missing[m.Instance]; missing {
			continue
		}
		u.Members = append(u.Members, registry.MemberEntry{Instance: m.Instance, Member: m})
	}
	u.Evacuations = t.evacuationEntries()
	return u
}

// SetStoreUnreachable records whether the store does not answer this daemon.
func (t *Registry) SetStoreUnreachable(unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.storeUnreachable = unreachable
	t.log.notify()
}
