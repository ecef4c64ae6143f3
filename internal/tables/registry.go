package tables

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// Registry holds the latest known content of the platform's store: the routing configuration, the servers' entries and the
// daemons. The version of the routing configuration never decreases. Owner: command/follow.
type Registry struct {
	mu       lockorder.Mutex
	era      directory.Era
	revision directory.Revision
	// confirmedAt is when the store was last known to be at revision, according to the clock of the daemon that read it.
	// verification is a bound on the age of the data that holds after a pause too.
	confirmedAt  time.Time
	verification gossip.Verification
	routing      *model.Routing
	servers      *directory.Directory
	members      map[model.InstanceID]model.Member
	// missing holds the members whose entries the store lost when it was restored, with the time until which they may be written
	// again.
	missing map[model.InstanceID]time.Time
	// restoreEnd is when the time to write lost entries again ends or ended.
	restoreEnd time.Time
	// evacuated holds the evacuated zones, whether or not the settings define them.
	evacuated map[model.AvailabilityZone]bool
	log       updateLog
}

// NewRegistry returns an empty table. drainPeriod is how long a server still serves requests after it announced that it
// leaves or its entry was removed.
func NewRegistry(drainPeriod time.Duration) *Registry {
	return &Registry{
		mu: lockorder.New(OrderRegistry), servers: directory.New(drainPeriod), members: map[model.InstanceID]model.Member{},
		missing:   map[model.InstanceID]time.Time{},
		evacuated: map[model.AvailabilityZone]bool{}, log: updateLog{changed: make(chan struct{})},
	}
}

// RegistryChange describes what an update changed.
type RegistryChange struct {
	// Routing is the routing configuration that the update installed, or nil.
	Routing *model.Routing
	// StaleRouting is the version of a routing configuration that was ignored because a newer one is installed, or 0.
	StaleRouting model.RoutingVersion
	// Servers are the entries whose update had an effect.
	Servers []registry.ServerEntry
	// MembersChanged means that a daemon was added, changed or removed.
	MembersChanged bool
	// RestoredAfter is the point that the table had reached when the update began a new era, or nil.
	RestoredAfter *directory.Point
	// Evacuations are the zones whose evacuation began or ended.
	Evacuations []registry.Evacuation
}

// AffectsTopology reports whether the Topology must be rebuilt.
func (c *RegistryChange) AffectsTopology() bool {
	return c.Routing != nil || len(c.Servers) > 0 || c.MembersChanged || len(c.Evacuations) > 0
}

// Apply applies an update at now. confirmedAt is when the store was known to be at the update's revision. An update of an earlier era
// changes nothing. One of a later era must be complete; it is merged with what is known.
func (t *Registry) Apply(u *registry.Update, confirmedAt, now time.Time) RegistryChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c RegistryChange
	if !t.accepts(u) {
		return c
	}
	restored := t.enterEra(u, &c)
	t.log.add(u, t.revision)
	t.revision = max(t.revision, u.Revision)
	t.applyRouting(u.Routing, &c)
	if restored {
		t.mergeRestored(u, &c, confirmedAt)
	} else {
		t.applyServers(u, &c, now)
		c.MembersChanged = t.applyMembers(u, now)
	}
	c.Evacuations = t.applyEvacuations(u, restored)
	t.applyVerification(u, c.Routing != nil)
	if confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
	t.log.notify()
	return c
}

// Position returns the point in the store's history that the table has reached, when the store was known to be at it, and when it
// was verified.
func (t *Registry) Position() gossip.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return gossip.Position{
		Era: t.era, Revision: t.revision, ConfirmedAt: t.confirmedAt, VerifiedAt: t.verification.At(), Acknowledged: t.acknowledgement(),
	}
}

// routingVersion returns the version of the routing configuration, or 0 if there is none.
func (t *Registry) routingVersion() model.RoutingVersion {
	if t.routing == nil {
		return 0
	}
	return t.routing.Version
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
	present := make(map[model.ServerName]bool, len(u.Servers))
	for _, e := range u.Servers {
		present[e.Name] = true
		if t.applyServer(e, now) {
			c.Servers = append(c.Servers, e)
		}
	}
	if !u.Complete {
		return
	}
	for _, name := range t.servers.EntryNames() {
		if present[name] {
			continue
		}
		e := registry.ServerEntry{Name: name, State: registry.EntryRemoved, Revision: u.Revision}
		if t.applyServer(e, now) {
			c.Servers = append(c.Servers, e)
		}
	}
}

func (t *Registry) applyServer(e registry.ServerEntry, now time.Time) bool {
	switch e.State {
	case registry.EntryPresent:
		return t.servers.Put(directory.Entry{Registration: e.Registration, Sequence: e.Sequence, Revision: e.Revision, ReadAt: now})
	case registry.EntryRemoved:
		return t.servers.RemoveEntry(e.Name, t.confirmedAt, now)
	case registry.EntryUnreadable:
		return t.servers.DropServer(e.Name)
	}
	return false
}

func (t *Registry) applyMembers(u *registry.Update, now time.Time) (changed bool) {
	present := make(map[model.InstanceID]bool, len(u.Members))
	for _, e := range u.Members {
		present[e.Instance] = true
		old, known := t.members[e.Instance]
		switch {
		case e.Gone && known:
			changed = t.removeMember(e.Instance, now) || changed
		case !e.Gone:
			delete(t.missing, e.Instance)
			t.members[e.Instance] = e.Member
			changed = changed || !known || old != e.Member
		}
	}
	if !u.Complete {
		return changed
	}
	for instance := range t.members {
		if !present[instance] {
			changed = t.removeMember(instance, now) || changed
		}
	}
	return changed
}

// MarkLeaving records servers that are leaving, as they stated in replies to this daemon or to others, and returns those
// that were not known to be leaving. It wakes the daemons that follow this one.
func (t *Registry) MarkLeaving(servers []model.LeavingServer, now time.Time) (added []model.LeavingServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range servers {
		if t.servers.MarkLeaving(s, now) {
			added = append(added, s)
		}
	}
	if len(added) > 0 {
		t.log.notify()
	}
	return added
}

// LeavingAfter returns at most registry.MaxLeaving of the servers that were marked as leaving after the given sequence number,
// and the sequence number up to which they are complete.
func (t *Registry) LeavingAfter(after directory.LeavingSequence) ([]model.LeavingServer, directory.LeavingSequence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers.LeavingAfter(after, registry.MaxLeaving)
}

// SetStoreRestored records that the store answers again, since at, after a failure.
func (t *Registry) SetStoreRestored(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setStoreRestored(at)
}

func (t *Registry) setStoreRestored(at time.Time) {
	t.servers.StoreRestored(at)
	if at.After(t.log.storeRestored) {
		t.log.storeRestored = at
	}
}

// Expire removes the servers and members whose entries are not in the store and whose grace period has ended, and returns the names
// of the servers.
func (t *Registry) Expire(now time.Time) []model.ServerName {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireMembers(now)
	return t.servers.Expire(now)
}

// NextExpiry returns when Expire next has an effect, or the zero time.
func (t *Registry) NextExpiry() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextMemberExpiry(t.servers.NextExpiry())
}

// Members returns the daemons that have an entry, and those that may still write again one that the store lost.
func (t *Registry) Members() []model.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	return out
}

// RegistryView is a snapshot of a Registry.
type RegistryView struct {
	Revision directory.Revision
	// ConfirmedAt is when the store was last known to be at Revision, as observed by this daemon or reported by a peer.
	ConfirmedAt time.Time
	Routing     *model.Routing
	Servers     []model.Registration
	// ColdUntil is, for each server whose entry states that it is cold, when it will be warm.
	ColdUntil map[model.ServerName]time.Time
	Members   []model.Member
	// VerifiedAt is a time at which the store's content was certainly not newer than the view; zero if it is not known.
	VerifiedAt boottime.Time
	// Evacuated are the evacuated zones, whether or not the settings define them.
	Evacuated map[model.AvailabilityZone]bool
}

// View returns a snapshot of the table. Nothing that it refers to is modified later.
func (t *Registry) View() RegistryView {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := RegistryView{
		Revision: t.revision, ConfirmedAt: t.confirmedAt, Routing: t.routing, Servers: t.servers.Servers(),
		ColdUntil:  t.servers.ColdUntil(),
		VerifiedAt: t.verification.At(), Evacuated: maps.Clone(t.evacuated),
	}
	for _, m := range t.members {
		v.Members = append(v.Members, m)
	}
	return v
}
