package tables

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/registry"
)

// newsKept is the number of updates that are kept for the daemons that follow this one. One that is further behind gets
// everything.
const newsKept = 256

// news keeps the last updates, so that a daemon that follows this one gets what it lacks.
type news struct {
	// floor is the revision after which all changes are in updates.
	floor   directory.Revision
	updates []registry.Update
	// refreshed is closed when the store, or a daemon that is followed, was heard again or lost.
	refreshed chan struct{}
	// restored is when the store last answered again after it had not.
	restored time.Time
	// lost tells that the store does not answer.
	lost bool
}

// add keeps an update that brought the table to its revision.
func (n *news) add(u *registry.Update, before directory.Revision) {
	switch {
	case u.Complete:
		n.floor, n.updates = max(before, u.Revision), nil
	case u.Routing != nil || len(u.Servers)+len(u.Members) > 0:
		n.updates = append(n.updates, *u)
	}
	if len(n.updates) > newsKept {
		n.floor = n.updates[0].Revision
		n.updates = append([]registry.Update(nil), n.updates[1:]...)
	}
}

// since joins the updates after a revision; false if they are not all kept.
func (n *news) since(after directory.Revision) (registry.Update, bool) {
	var out registry.Update
	if after < n.floor {
		return out, false
	}
	for i := range n.updates {
		u := &n.updates[i]
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
	}
	return out, true
}

func (n *news) wake() {
	close(n.refreshed)
	n.refreshed = make(chan struct{})
}

// AwaitUpdate returns what a daemon at the given position lacks as soon as it helps that daemon or the store is lost, and
// whatever there is after wait or when ctx ends.
func (t *Registry) AwaitUpdate(ctx context.Context, of spread.Position, wait time.Duration) registry.News {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		n, refreshed := t.newsAfter(of.Revision)
		own := spread.Position{Revision: n.Revision, Heard: n.Heard}
		if n.Lost || own.Helps(of) || ctx.Err() != nil {
			return n
		}
		select {
		case <-refreshed:
		case <-ctx.Done():
		}
	}
}

// newsAfter returns what a daemon that knows the given revision lacks, and a channel that is closed when there may be more.
func (t *Registry) newsAfter(after directory.Revision) (registry.News, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, kept := t.news.since(after)
	if !kept {
		u = t.everything()
	}
	u.Revision = t.revision
	return registry.News{Update: u, Heard: t.heard, Restored: t.news.restored, Lost: t.news.lost}, t.news.refreshed
}

// everything lists the whole table. Servers whose entries vanished are left out.
func (t *Registry) everything() registry.Update {
	u := registry.Update{Complete: true, Routing: t.routing}
	for _, e := range t.servers.Entries() {
		u.Servers = append(u.Servers, registry.ServerEntry{
			Name: e.Registration.Name, Revision: e.Revision, Registration: e.Registration,
		})
	}
	for _, m := range t.members {
		u.Members = append(u.Members, registry.MemberEntry{Instance: m.Instance, Member: m})
	}
	return u
}

// SetStoreLost records whether the store fails to answer this daemon.
func (t *Registry) SetStoreLost(lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news.lost = lost
	t.news.wake()
}
