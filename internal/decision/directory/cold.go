package directory

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// coldMargin is added to the time at which a server will be warm according to its entry. Entries arrive with varying delays. Without
// the margin, each entry of a cold server would change the time and replace the records of its service.
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

// ColdUntil returns, for each server whose entry states that it is cold, when it will be warm.
func (d *Directory) ColdUntil() map[model.ServerName]time.Time {
	out := map[model.ServerName]time.Time{}
	for name, e := range d.entries {
		if !e.coldUntil.IsZero() {
			out[name] = e.coldUntil
		}
	}
	return out
}
