package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
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
}

// NewRegistry returns an empty table.
func NewRegistry() *Registry {
	return &Registry{
		mu: lockorder.New(OrderRegistry), servers: directory.New(), members: map[model.InstanceID]model.Member{},
	}
}

// RegistryChange says what an update changed.
type RegistryChange struct {
	// Routing is the version that came into force; nil if none did.
	Routing *model.Routing
	// Stale is a version that was not taken, since a newer one is in force; 0 if there was none.
	Stale model.RoutingVersion
	// Servers are the entries that changed something.
	Servers []registry.ServerEntry
	// Members tells that the set of daemons changed.
	Members bool
}

// Any tells whether the Topology has to be made anew.
func (c *RegistryChange) Any() bool { return c.Routing != nil || len(c.Servers) > 0 || c.Members }

// Apply takes an update.
func (t *Registry) Apply(u *registry.Update, now time.Time) RegistryChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c RegistryChange
	t.revision = max(t.revision, u.Revision)
	t.heard = now
	t.applyRouting(u.Routing, &c)
	t.applyServers(u, &c, now)
	c.Members = t.applyMembers(u)
	return c
}

func (t *Registry) applyRouting(r *model.Routing, c *RegistryChange) {
	switch {
	case r == nil:
	case t.routing == nil || r.Version > t.routing.Version:
		t.routing = r
		c.Routing = r
	case r.Version < t.routing.Version:
		c.Stale = r.Version
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
		return t.servers.Vanish(e.Name, now)
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

// Restored takes the news that the store answers again after it did not.
func (t *Registry) Restored(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers.Restored(now)
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

// Daemons returns the number of daemons with an entry.
func (t *Registry) Daemons() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
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
