package directory

import (
	"cmp"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// MergeRestored merges the first complete list of the entries of a new era with the known entries, and returns the names of the
// servers whose use or registration changed. The store was read at readAt.
//
// The restored copy is some seconds old, and the servers repeat their writes within RestoreGrace. Until then, what is known and newer
// than the copy stays: the newer entry of a run, a server whose entry is missing, and the absence of a server that had left. Later
// entries of the era are applied by Put, since a server wrote them after the restore.
func (d *Directory) MergeRestored(read []Entry, readAt time.Time) []model.ServerName {
	d.StoreRestored(readAt)
	for _, e := range d.entries {
		// Revisions of the new era are not compared with those of the one before.
		e.revision = 0
	}
	var changed []model.ServerName
	present := make(map[model.ServerName]bool, len(read))
	for i := range read {
		name := read[i].Registration.Name
		present[name] = true
		if d.mergeEntry(&read[i]) {
			changed = append(changed, name)
		}
	}
	for name, e := range d.entries {
		if present[name] {
			continue
		}
		switch {
		case !e.heldUntil.IsZero():
			d.drop(name)
		case e.useUntil.IsZero() || e.missing:
			e.missing, e.useUntil = true, d.restoreEnd()
		}
	}
	return changed
}

// restoreEnd returns until when servers may still write again what the store lost in its last outage or restore.
func (d *Directory) restoreEnd() time.Time { return d.storeRestored.Add(RestoreGrace) }

// mergeEntry merges an entry that the restored store has, and reports whether the server's use or registration changed.
func (d *Directory) mergeEntry(read *Entry) bool {
	name := read.Registration.Name
	e := d.entries[name]
	switch {
	case e != nil && e.heldUntil.IsZero() && (e.useUntil.IsZero() || e.missing):
		if !d.runOf(e).newerThan(read) {
			return d.Put(*read)
		}
		// The revision keeps Put from applying this entry when it is read again.
		e.revision, e.useUntil, e.missing = read.Revision, time.Time{}, false
		return false
	case e != nil:
		return d.mergeRemoved(read, d.runOf(e))
	}
	if run, ok := d.dropped[name]; ok {
		return d.mergeRemoved(read, run)
	}
	return d.Put(*read)
}

// mergeRemoved merges the entry of a server of which the given run was removed. If the entry is of that run and was written before
// the removal, which the store has lost, the server is held until the removal had time to be repeated, and one that had announced
// that it leaves stays leaving after that.
func (d *Directory) mergeRemoved(read *Entry, run droppedRun) bool {
	name := read.Registration.Name
	e := d.entries[name]
	used := e != nil && e.heldUntil.IsZero()
	if run.olderThan(read) {
		return d.Put(*read)
	}
	if read.Registration.Started != run.started {
		// The server had a later run, or the entry is not its own.
		if e != nil {
			d.drop(name)
		}
		return used
	}
	if run.leaving {
		d.MarkLeaving(model.LeavingServer{Server: name, Started: run.started}, d.storeRestored)
	}
	d.entries[name] = &entry{
		registration: read.Registration, sequence: read.Sequence, revision: read.Revision, heldUntil: d.restoreEnd(),
		coldUntil: e.coldUntilAfter(read),
	}
	delete(d.dropped, name)
	return used
}

// compare compares the run's last entry with an entry, by the start of the server and then by the sequence of its entries.
func (r droppedRun) compare(e *Entry) int {
	if c := cmp.Compare(r.started, e.Registration.Started); c != 0 {
		return c
	}
	return cmp.Compare(r.sequence, e.Sequence)
}

func (r droppedRun) newerThan(e *Entry) bool { return r.compare(e) > 0 }
func (r droppedRun) olderThan(e *Entry) bool { return r.compare(e) < 0 }
