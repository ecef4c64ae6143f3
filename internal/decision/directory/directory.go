package directory

import (
	"cmp"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// vanishedUse is how long a server is used whose entry vanished without notice, as a part of the time for which a server
	// that leaves without notice goes on serving: the entry may have lapsed although the server lives.
	vanishedUse = 0.53
	// vanishedBound is the same from when the store was last heard, where the entry is gone when it is heard again.
	vanishedBound = 0.86
	// restoredUse is how long after the store's return entries that lapsed while it was away are waited for.
	restoredUse = 2300 * time.Millisecond
)

// Revision orders what the store said; a higher one is newer.
type Revision uint64

// Directory holds the entries. Create it with New. It is not safe for concurrent use.
type Directory struct {
	// drain is how long a server goes on serving after it said that it leaves, or its entry vanished.
	drain   time.Duration
	entries map[model.ServerName]*entry
	// restored is when the store last answered again after it had not.
	restored time.Time
}

type entry struct {
	registration model.Registration
	revision     Revision
	// until is zero while the entry is in the store, and then the time up to which the server is used.
	until time.Time
}

// New returns an empty directory of servers that go on serving for drain once they leave.
func New(drain time.Duration) *Directory {
	return &Directory{drain: drain, entries: map[model.ServerName]*entry{}}
}

// Put takes an entry, and tells whether it changed anything. An entry that is not newer than the one known is dropped.
func (d *Directory) Put(r model.Registration, revision Revision) bool {
	e := d.entries[r.Name]
	if e == nil {
		d.entries[r.Name] = &entry{registration: r, revision: revision}
		return true
	}
	if revision < e.revision || (revision == e.revision && e.until.IsZero()) {
		return false
	}
	changed := e.registration != r
	e.registration, e.revision, e.until = r, revision, time.Time{}
	return changed
}

// DropServer takes the news that a key holds no entry that names a server. It tells whether a server was dropped.
func (d *Directory) DropServer(name model.ServerName) bool {
	if d.entries[name] == nil {
		return false
	}
	delete(d.entries, name)
	return true
}

// RemoveEntry takes the news that an entry is gone which was there at heard, and tells whether a server was dropped at once. One
// that had said that it leaves is; another one is used for a while.
func (d *Directory) RemoveEntry(name model.ServerName, heard, now time.Time) bool {
	e := d.entries[name]
	if e == nil || !e.until.IsZero() {
		return false
	}
	if e.registration.Leaving {
		delete(d.entries, name)
		return true
	}
	e.until = now.Add(d.drainPart(vanishedUse))
	if latest := heard.Add(d.drainPart(vanishedBound)); latest.Before(e.until) {
		e.until = latest
	}
	if byReturn := d.restored.Add(restoredUse); byReturn.After(e.until) {
		e.until = byReturn
	}
	return false
}

func (d *Directory) drainPart(p float64) time.Duration { return time.Duration(p * float64(d.drain)) }

// StoreRestored takes the news that the store answers again after it did not.
func (d *Directory) StoreRestored(at time.Time) {
	if at.After(d.restored) {
		d.restored = at
	}
}

// EntryNames returns the names of all servers whose entries were in the store when last heard of.
func (d *Directory) EntryNames() []model.ServerName {
	var out []model.ServerName
	for name, e := range d.entries {
		if e.until.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// Expire drops the servers that are not to be used any longer, and returns their names.
func (d *Directory) Expire(now time.Time) []model.ServerName {
	var dropped []model.ServerName
	for name, e := range d.entries {
		if !e.until.IsZero() && !now.Before(e.until) {
			delete(d.entries, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// NextExpiry returns when Expire has something to drop next; zero if nothing vanished.
func (d *Directory) NextExpiry() time.Time {
	var next time.Time
	for _, e := range d.entries {
		if !e.until.IsZero() && (next.IsZero() || e.until.Before(next)) {
			next = e.until
		}
	}
	return next
}

// Entry is a server's entry as the store holds it.
type Entry struct {
	Registration model.Registration
	Revision     Revision
}

// Entries returns the entries that were in the store when last heard of.
func (d *Directory) Entries() []Entry {
	var out []Entry
	for _, e := range d.entries {
		if e.until.IsZero() {
			out = append(out, Entry{Registration: e.registration, Revision: e.revision})
		}
	}
	return out
}

// Servers returns the servers to use, by name.
func (d *Directory) Servers() []model.Registration {
	out := make([]model.Registration, 0, len(d.entries))
	for _, e := range d.entries {
		out = append(out, e.registration)
	}
	slices.SortFunc(out, func(a, b model.Registration) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
