package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// accepts reports whether the table can apply an update: it is of the table's era, or begins a later one with a complete list.
func (t *Registry) accepts(u *registry.Update) bool {
	return u.Era == t.era || (u.Era > t.era && u.Complete)
}

// enterEra changes to the era and revision of an update if the era is later, and reports whether the table had content of an earlier
// one. The update is complete, so that it replaces the updates that are kept for followers. The caller holds mu.
func (t *Registry) enterEra(u *registry.Update, c *RegistryChange) (restored bool) {
	if u.Era == t.era {
		return false
	}
	before := directory.Point{Era: t.era, Revision: t.revision}
	t.era, t.revision = u.Era, u.Revision
	t.verification.EnterEra(u.EraKnownAt)
	if before == (directory.Point{}) {
		return false
	}
	c.RestoredAfter = &before
	return true
}

// mergeRestored merges the servers and daemons of the first complete update of a new era with those that are known. An entry that
// cannot be read counts as missing. The caller holds mu.
func (t *Registry) mergeRestored(u *registry.Update, c *RegistryChange, readAt time.Time) {
	t.setStoreRestored(readAt)
	t.restoreEnd = readAt.Add(directory.RestoreGrace)
	var read []directory.Entry
	for _, e := range u.Servers {
		if e.State == registry.EntryPresent {
			read = append(read, directory.Entry{Registration: e.Registration, Sequence: e.Sequence, Revision: e.Revision, ReadAt: readAt})
		}
	}
	for _, name := range t.servers.MergeRestored(read, readAt) {
		c.Servers = append(c.Servers, entryOf(u, name))
	}
	c.MembersChanged = t.mergeMembers(u.Members)
}

// entryOf returns the update's entry of a server.
func entryOf(u *registry.Update, name model.ServerName) registry.ServerEntry {
	for _, e := range u.Servers {
		if e.Name == name {
			return e
		}
	}
	return registry.ServerEntry{Name: name, State: registry.EntryRemoved, Revision: u.Revision}
}

// mergeMembers merges the daemons of a restored store with the known ones. Of two runs of a daemon the later one stays, and daemons
// without an entry stay until restoreEnd, so that no budget grows meanwhile.
func (t *Registry) mergeMembers(read []registry.MemberEntry) (changed bool) {
	present := make(map[model.InstanceID]bool, len(read))
	for _, e := range read {
		present[e.Instance] = true
		delete(t.missing, e.Instance)
		known, ok := t.members[e.Instance]
		if ok && (known == e.Member || known.Incarnation > e.Member.Incarnation) {
			continue
		}
		t.members[e.Instance] = e.Member
		changed = true
	}
	for instance := range t.members {
		if !present[instance] {
			t.missing[instance] = t.restoreEnd
		}
	}
	return changed
}

// removeMember removes a daemon whose entry is not in the store. While lost entries may still be written again, it only notes that
// the entry is missing. It reports whether the daemon was removed.
func (t *Registry) removeMember(instance model.InstanceID, now time.Time) bool {
	if now.Before(t.restoreEnd) {
		t.missing[instance] = t.restoreEnd
		return false
	}
	delete(t.missing, instance)
	delete(t.members, instance)
	return true
}

// expireMembers removes the daemons whose entries were not written again in time.
func (t *Registry) expireMembers(now time.Time) {
	for instance, until := range t.missing {
		if !now.Before(until) {
			delete(t.missing, instance)
			delete(t.members, instance)
		}
	}
}

// nextMemberExpiry returns the earlier of the given time and the next one at which expireMembers removes a daemon. The zero time
// means that there is none.
func (t *Registry) nextMemberExpiry(next time.Time) time.Time {
	for _, until := range t.missing {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}
