package directory

import (
	"cmp"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// removalGrace is how long a server is still used after its entry was removed unannounced, as a fraction of the drain
	// period: the entry may have expired although the server still runs.
	removalGrace = 0.53
	// maxRemovalGrace bounds the same time counted from the last time that the entry was known to be in the store, also as a
	// fraction of the drain period.
	maxRemovalGrace = 0.86
	// RestoreGrace is how long after the end of a store outage, or after the first read of a restored store, the operator, servers and
	// daemons have time to write again what expired or was lost.
	RestoreGrace = 2300 * time.Millisecond
)

// Directory holds the known entries and which servers to use. Create it with New. It is not safe for concurrent use.
type Directory struct {
	// drainPeriod is how long a server still serves requests after it announced that it leaves or its entry was removed.
	drainPeriod time.Duration
	entries     map[model.ServerName]*entry
	// storeRestored is when the last store outage ended.
	storeRestored time.Time
	// leaving holds the servers that stated in a reply that they leave, and leavingSequence numbers the marks.
	leaving         map[model.ServerName]leavingMark
	leavingSequence LeavingSequence
	// dropped holds the lately dropped servers.
	dropped map[model.ServerName]droppedRun
}

type entry struct {
	registration model.Registration
	sequence     model.EntrySequence
	revision     Revision
	// coldUntil is when the server is warm according to the entry; zero if it stated that it is.
	coldUntil time.Time
	// useUntil is zero while the entry is in the store. After that it is when the server is no longer used.
	useUntil time.Time
	// missing means that useUntil was set because the entry was missing after the store was restored.
	missing bool
	// heldUntil, unless it is zero, is when the server is used again although it had left: the restored store has its entry.
	heldUntil time.Time
}

// New returns an empty directory of servers that still serve requests for drainPeriod after they announced that they leave.
func New(drainPeriod time.Duration) *Directory {
	return &Directory{
		drainPeriod: drainPeriod, entries: map[model.ServerName]*entry{}, leaving: map[model.ServerName]leavingMark{},
		dropped: map[model.ServerName]droppedRun{},
	}
}

// Put records an entry and reports whether the server is new or its registration changed, or whether it was dropped. An entry that
// is not newer than the known one is ignored. One that does not say when the server started, although the server did before, is
// not the server's own, and names no server to use.
func (d *Directory) Put(read Entry) bool {
	r := read.Registration
	e := d.entries[r.Name]
	if e != nil && (read.Revision < e.revision || (read.Revision == e.revision && e.useUntil.IsZero())) {
		return false
	}
	if r.Started == 0 && d.statedStart(r.Name) {
		return d.DropServer(r.Name)
	}
	delete(d.dropped, r.Name)
	coldUntil := e.coldUntilAfter(&read)
	changed := e == nil || e.registration != r || !e.heldUntil.IsZero() || !e.coldUntil.Equal(coldUntil)
	d.entries[r.Name] = &entry{registration: r, sequence: read.Sequence, revision: read.Revision, coldUntil: coldUntil}
	d.clearMarkOfOtherRun(&r)
	return changed
}

// DropServer stops the use of a server whose key no longer holds a valid entry. It reports whether the server was known.
func (d *Directory) DropServer(name model.ServerName) bool {
	if d.entries[name] == nil {
		return false
	}
	d.drop(name)
	return true
}

// RemoveEntry records that an entry was removed from the store, where it was last seen at lastSeen. It reports whether the
// server was dropped immediately, which is the case if the server had announced that it leaves. Otherwise the server is used
// for a grace period, see Expire.
func (d *Directory) RemoveEntry(name model.ServerName, lastSeen, now time.Time) bool {
	e := d.entries[name]
	if e == nil || !e.useUntil.IsZero() {
		return false
	}
	if !e.heldUntil.IsZero() || e.registration.Leaving || d.markedLeaving(&e.registration) {
		d.drop(name)
		return true
	}
	e.useUntil = now.Add(d.drainFraction(removalGrace))
	if latest := lastSeen.Add(d.drainFraction(maxRemovalGrace)); latest.Before(e.useUntil) {
		e.useUntil = latest
	}
	if afterOutage := d.restoreEnd(); afterOutage.After(e.useUntil) {
		e.useUntil = afterOutage
	}
	return false
}

// drainFraction returns the fraction f of the drain period.
func (d *Directory) drainFraction(f float64) time.Duration {
	return time.Duration(f * float64(d.drainPeriod))
}

// StoreRestored records that a store outage ended at the given time.
func (d *Directory) StoreRestored(at time.Time) {
	if at.After(d.storeRestored) {
		d.storeRestored = at
	}
}

// EntryNames returns the names of the servers whose entries are in the store as far as is known.
func (d *Directory) EntryNames() []model.ServerName {
	var out []model.ServerName
	for name, e := range d.entries {
		if e.useUntil.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// Expire drops the servers whose grace period has ended and returns their names. Servers that are held until now are used again.
func (d *Directory) Expire(now time.Time) []model.ServerName {
	d.expireMarks(now)
	d.expireDropped(now)
	var dropped []model.ServerName
	for name, e := range d.entries {
		if !e.useUntil.IsZero() && !now.Before(e.useUntil) {
			d.drop(name)
			dropped = append(dropped, name)
		}
		if !now.Before(e.heldUntil) {
			e.heldUntil = time.Time{}
		}
	}
	return dropped
}

// NextExpiry returns when Expire next has an effect on the servers to use, or the zero time.
func (d *Directory) NextExpiry() time.Time {
	var next time.Time
	for _, e := range d.entries {
		for _, at := range [...]time.Time{e.useUntil, e.heldUntil} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// Entry is a server's entry in the store.
type Entry struct {
	Registration model.Registration
	Sequence     model.EntrySequence
	Revision     Revision
	// ReadAt is when the entry was read, from the store or from a daemon.
	ReadAt time.Time
}

// Entries returns the entries that are in the store as far as is known, in no particular order.
func (d *Directory) Entries() []Entry {
	var out []Entry
	for _, e := range d.entries {
		if e.useUntil.IsZero() {
			out = append(out, Entry{Registration: e.registration, Sequence: e.sequence, Revision: e.revision})
		}
	}
	return out
}

// Servers returns the servers to use, sorted by name. It includes those in a grace period, and not those that are held. A server
// with a leaving mark is leaving, even if its entry does not say so.
func (d *Directory) Servers() []model.Registration {
	out := make([]model.Registration, 0, len(d.entries))
	for _, e := range d.entries {
		if !e.heldUntil.IsZero() {
			continue
		}
		r := e.registration
		r.Leaving = r.Leaving || d.markedLeaving(&r)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b model.Registration) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
