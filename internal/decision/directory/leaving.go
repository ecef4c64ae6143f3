package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// leavingRetention is how long a leaving mark is kept without an entry of its server, which may be written again after a store
// outage.
const leavingRetention = 10 * time.Minute

// LeavingSequence numbers the leaving marks of one Directory in the order in which they were set, from 1.
type LeavingSequence uint64

// leavingMark records that one run of a server is leaving.
type leavingMark struct {
	server   model.LeavingServer
	sequence LeavingSequence
	markedAt time.Time
}

// MarkLeaving records that a run of a server is leaving, as the server stated in a reply. The mark outlives entries that say
// otherwise and ends when another run of the server registers. MarkLeaving reports whether the mark is new. It ignores a run
// that was already followed by another one.
func (d *Directory) MarkLeaving(s model.LeavingServer, now time.Time) bool {
	if e := d.entries[s.Server]; e != nil && e.registration.Started != s.Started {
		return false
	}
	if mark, ok := d.leaving[s.Server]; ok && mark.server == s {
		return false
	}
	d.leavingSequence++
	d.leaving[s.Server] = leavingMark{server: s, sequence: d.leavingSequence, markedAt: now}
	return true
}

// LeavingAfter returns at most limit of the servers that were marked as leaving after the given sequence number, oldest first,
// and the sequence number up to which they are complete.
func (d *Directory) LeavingAfter(after LeavingSequence, limit int) ([]model.LeavingServer, LeavingSequence) {
	var marks []leavingMark
	for _, mark := range d.leaving {
		if mark.sequence > after {
			marks = append(marks, mark)
		}
	}
	slices.SortFunc(marks, func(a, b leavingMark) int { return cmp.Compare(a.sequence, b.sequence) })
	upTo := d.leavingSequence
	if len(marks) > limit {
		marks = marks[:limit]
		upTo = marks[limit-1].sequence
	}
	servers := make([]model.LeavingServer, len(marks))
	for i := range marks {
		servers[i] = marks[i].server
	}
	return servers, upTo
}

func (d *Directory) markedLeaving(r *model.Registration) bool {
	mark, ok := d.leaving[r.Name]
	return ok && mark.server.Started == r.Started
}

func (d *Directory) clearMarkOfOtherRun(r *model.Registration) {
	if !d.markedLeaving(r) {
		delete(d.leaving, r.Name)
	}
}

// expireMarks removes the marks of servers that have had no entry for long.
func (d *Directory) expireMarks(now time.Time) {
	maps.DeleteFunc(d.leaving, func(name model.ServerName, mark leavingMark) bool {
		return d.entries[name] == nil && now.Sub(mark.markedAt) >= leavingRetention
	})
}
