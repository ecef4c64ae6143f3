package directory

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// drop forgets a server's entry, but not that the server stated when it started.
func (d *Directory) drop(name model.ServerName) {
	if d.entries[name].registration.Started != 0 {
		d.dropped[name] = time.Time{}
	}
	delete(d.entries, name)
}

// statedStart reports whether a known or lately dropped server stated when it started.
func (d *Directory) statedStart(name model.ServerName) bool {
	if e := d.entries[name]; e != nil {
		return e.registration.Started != 0
	}
	_, dropped := d.dropped[name]
	return dropped
}

// expireDropped forgets the servers that were dropped long ago.
func (d *Directory) expireDropped(now time.Time) {
	for name, since := range d.dropped {
		if since.IsZero() {
			d.dropped[name] = now
		}
	}
	maps.DeleteFunc(d.dropped, func(_ model.ServerName, since time.Time) bool { return now.Sub(since) >= leavingRetention })
}
