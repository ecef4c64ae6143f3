package status

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Status is the state of a daemon, and what it knows about the fleet and the store, at one time.
type Status struct {
	Instance model.InstanceID       `json:"instance"`
	Zone     model.AvailabilityZone `json:"zone"`
	Revision model.Revision         `json:"revision"`
	Root     model.RootHash         `json:"root,omitempty"`
	Editor   string                 `json:"editor,omitempty"`
	Ready    bool                   `json:"ready"`
	Draining bool                   `json:"draining"`
	// Relay reports whether the daemon watches the store for its zone.
	Relay bool `json:"relay"`
	// StoreContact is when the store last answered this daemon or, as far as its peers reported, another one; zero if it never
	// did.
	StoreContact time.Time `json:"store_contact"`
	// Rejected is the last revision that was offered to the daemon but not installed; nil if there was none.
	Rejected *Rejected `json:"rejected,omitempty"`
	Members  Members   `json:"members"`
	// Leaving lists backend servers that get no new work because they are leaving: the first maxLeaving by name.
	Leaving []model.ServerName `json:"leaving"`
}

// Rejected is an offered revision that was not installed.
type Rejected struct {
	Revision model.Revision `json:"revision"`
	Root     model.RootHash `json:"root"`
	Reason   string         `json:"reason"`
	At       time.Time      `json:"at"`
}

// Members counts the other daemons that this one knows, by liveness.
type Members struct {
	Alive     int `json:"alive"`
	Suspected int `json:"suspected"`
	Dead      int `json:"dead"`
}

// maxLeaving is the maximum number of leaving servers that a status lists.
const maxLeaving = 256

// Reader reads the status from the tables.
type Reader struct {
	Config     *tables.Config
	Members    *tables.Members
	Departures *tables.Departures
	// Draining reports whether the daemon is stopping.
	Draining func() bool
}

// Read returns the status at now.
func (r *Reader) Read(now time.Time) Status {
	self := r.Members.Self()
	known := r.Members.Snapshot(nil)
	doc := r.Config.Document()
	draining := r.Draining()
	s := Status{
		Instance:     self.Instance,
		Zone:         self.Zone,
		Revision:     r.Config.Revision(),
		Root:         doc.Offer.Root,
		Draining:     draining,
		Ready:        !draining && r.Config.Current() != nil,
		Relay:        gossip.IsRelay(self, known, now),
		StoreContact: r.Config.StoreContact(),
		Rejected:     newRejected(r.Config.Rejected()),
		Members:      countMembers(known, now),
		Leaving:      []model.ServerName{},
	}
	if doc.Root != nil {
		s.Editor = doc.Root.Editor
	}
	for _, d := range r.Departures.Current(now) {
		s.Leaving = append(s.Leaving, d.Server)
	}
	slices.Sort(s.Leaving)
	s.Leaving = s.Leaving[:min(len(s.Leaving), maxLeaving)]
	return s
}

func newRejected(r tables.Rejection) *Rejected {
	if r.At.IsZero() {
		return nil
	}
	return &Rejected{Revision: r.Offer.Revision, Root: r.Offer.Root, Reason: r.Reason, At: r.At}
}

func countMembers(known []gossip.KnownMember, now time.Time) Members {
	var m Members
	for i := range known {
		switch known[i].Liveness(now) {
		case gossip.Alive:
			m.Alive++
		case gossip.Suspected:
			m.Suspected++
		case gossip.Dead:
			m.Dead++
		}
	}
	return m
}

// NotReadyReason returns why the daemon should get no requests, or "" if it is ready for them.
func (r *Reader) NotReadyReason() string {
	switch {
	case r.Draining():
		return "draining"
	case r.Config.Current() == nil:
		return "no configuration: neither the store nor a peer has given one"
	}
	return ""
}
