package directory

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// droppedRun is the last known run of a server that was dropped.
type droppedRun struct {
	started  int64
	sequence model.EntrySequence
	// leaving means that the run had announced that it leaves.
	leaving bool
	// since is the time of the first Expire after the drop, or the zero time before it.
	since time.Time
}

// drop removes a server's entry and records the run of the server to which it belonged.
func (d *Directory) drop(name model.ServerName) {
	e := d.entries[name]
	d.dropped[name] = d.runOf(e)
	delete(d.entries, name)
}

func (d *Directory) runOf(e *entry) droppedRun {
	r := &e.registration
	return droppedRun{started: r.Started, sequence: e.sequence, leaving: r.Leaving || d.markedLeaving(r)}
}

// statedStart reports whether a known or lately dropped server stated when it started.
func (d *Directory) statedStart(name model.ServerName) bool {
	if e := d.entries[name]; e != nil {
		return e.registration.Started != 0
	}
	return d.dropped[name].started != 0
}

// expireDropped forgets the servers that were dropped long ago.
func (d *Directory) expireDropped(now time.Time) {
	for name, run := range d.dropped {
		if run.since.IsZero() {
			run.since = now
			d.dropped[name] = run
		}
	}
	maps.DeleteFunc(d.dropped, func(_ model.ServerName, run droppedRun) bool { return now.Sub(run.since) >= leavingRetention })
}
