package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// Registry holds what the platform's store was last heard to say: the routing configuration, the servers' entries and the
// daemons. The version of the routing configuration only grows. Owner: command/follow.
type Registry struct {
	mu       lockorder.Mutex
	revision directory.Revision
	heard    time.Time
	routing  *model.Routing
	servers  *directory.Directory
	members  map[model.InstanceID]model.Member
	news     news
}

// NewRegistry returns an empty table of servers that go on serving for drain once they leave.
func NewRegistry(drain time.Duration) *Registry {
	return &Registry{
		mu: lockorder.New(OrderRegistry), servers: directory.New(drain), members: map[model.InstanceID]model.Member{},
		news: news{refreshed: make(chan struct{})},
	}
}

// RegistryChange says what an update changed.
type RegistryChange struct {
	// Routing is the version that came into force; nil if none did.
	Routing *model.Routing
	// StaleRouting is a version that was not taken, since a newer one is in force; 0 if there was none.
	StaleRouting model.RoutingVersion
	// Servers are the entries that changed something.
	Servers []registry.ServerEntry
	// MembersChanged tells that the set of daemons changed.
	MembersChanged bool
}

// AffectsTopology tells whether the Topology has to be made anew.
func (c *RegistryChange) AffectsTopology() bool {
	return c.Routing != nil || len(c.Servers) > 0 || c.MembersChanged
}

// Apply takes an update at now. The store was heard to be at the update's revision at heard.
func (t *Registry) Apply(u *registry.Update, heard, now time.Time) RegistryChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c RegistryChange
	t.news.add(u, t.revision)
	t.revision = max(t.revision, u.Revision)
	t.applyRouting(u.Routing, &c)
	t.applyServers(u, &c, now)
	c.MembersChanged = t.applyMembers(u)
	if heard.After(t.heard) {
		t.heard = heard
	}
	t.news.wake()
	return c
}

// Position returns how far the table has followed the store.
func (t *Registry) Position() spread.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return spread.Position{Revision: t.revision, Heard: t.heard}
}

func (t *Registry) applyRouting(r *model.Routing, c *RegistryChange) {
	switch {
	case r == nil:
	case t.routing == nil || r.Version > t.routing.Version:
		t.routing = r
		c.Routing = r
	case r.Version < t.routing.Version:
		c.StaleRouting = r.Version
	}
}

func (t *Registry) applyServers(u *registry.Update, c *RegistryChange, now time.Time) {
	named := make(map[model.ServerName]bool, len(u.Servers))
	for _, e := range u.Servers {
		named[e.Name] = true
		if t.applyServer(e, now) {
			c.Servers = append(c.Servers, e)
		}
	}
	if !u.Complete {
		return
	}
	for _, name := range t.servers.Names() {
		if named[name] {
			continue
		}
		e := registry.ServerEntry{Name: name, State: registry.EntryVanished, Revision: u.Revision}
		if t.applyServer(e, now) {
			c.Servers = append(c.Servers, e)
		}
	}
}

func (t *Registry) applyServer(e registry.ServerEntry, now time.Time) bool {
	switch e.State {
	case registry.EntryPresent:
		return t.servers.Put(e.Registration, e.Revision)
	case registry.EntryVanished:
		return t.servers.Vanish(e.Name, t.heard, now)
	case registry.EntryUnreadable:
		return t.servers.Drop(e.Name)
	}
	return false
}

func (t *Registry) applyMembers(u *registry.Update) (changed bool) {
	named := make(map[model.InstanceID]bool, len(u.Members))
	for _, e := range u.Members {
		named[e.Instance] = true
		old, known := t.members[e.Instance]
		switch {
		case e.Gone && known:
			delete(t.members, e.Instance)
			changed = true
		case !e.Gone && (!known || old != e.Member):
			t.members[e.Instance] = e.Member
			changed = true
		}
	}
	if !u.Complete {
		return changed
	}
	for instance := range t.members {
		if !named[instance] {
			delete(t.members, instance)
			changed = true
		}
	}
	return changed
}

// SetStoreRestored takes the news that the store answers again since at after it did not.
func (t *Registry) SetStoreRestored(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers.Restored(at)
	if at.After(t.news.restored) {
		t.news.restored = at
	}
}

// Expire drops the servers that vanished and are not to be used any longer, and returns their names.
func (t *Registry) Expire(now time.Time) []model.ServerName {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers.Expire(now)
}

// NextExpiry returns when Expire has something to drop next, or the zero time.
func (t *Registry) NextExpiry() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers.NextExpiry()
}

// Members returns the daemons with an entry.
func (t *Registry) Members() []model.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	return out
}

// RegistryView is the state of a Registry at one time.
type RegistryView struct {
	Revision directory.Revision
	// Heard is when the store, or a peer that told of it, was last heard.
	Heard   time.Time
	Routing *model.Routing
	Servers []model.Registration
	Members []model.Member
}

// View returns the present state. Nothing that it refers to is changed later.
func (t *Registry) View() RegistryView {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := RegistryView{Revision: t.revision, Heard: t.heard, Routing: t.routing, Servers: t.servers.Servers()}
	for _, m := range t.members {
		v.Members = append(v.Members, m)
	}
	return v
}
