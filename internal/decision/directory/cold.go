package directory

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// coldMargin is added to the time at which a server states to be warm. Entries arrive with varying delays, and the time of a server
// that states the same end in each entry must not change with each of them, since that would replace the records of its service.
const coldMargin = 500 * time.Millisecond

// coldUntilAfter returns when a server is warm according to an entry that replaces e, which may be nil.
func (e *entry) coldUntilAfter(read *Entry) time.Time {
	warmUp := read.Registration.WarmUp
	if warmUp <= 0 {
		return time.Time{}
	}
	stated := read.ReadAt.Add(warmUp)
	if e != nil && e.registration.Started == read.Registration.Started &&
		!stated.After(e.coldUntil) && !stated.Before(e.coldUntil.Add(-2*coldMargin)) {
		return e.coldUntil
	}
	return stated.Add(coldMargin)
}

// ColdUntil returns when the servers are warm that stated in their entries that they are not.
func (d *Directory) ColdUntil() map[model.ServerName]time.Time {
	out := map[model.ServerName]time.Time{}
	for name, e := range d.entries {
		if !e.coldUntil.IsZero() {
			out[name] = e.coldUntil
		}
	}
	return out
}
