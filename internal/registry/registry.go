// Package registry defines what a daemon reads from and writes to the platform's store in deployments in which the platform's
// operator keeps the routing configuration in the store and the backend servers register themselves there.
package registry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
)

// Errors of Reader and Announcer, to be tested with errors.Is. Every other error means that the store was not reached or did
// not answer.
var (
	// ErrHistoryLost means that the store no longer holds the changes since the given point, or was restored since.
	ErrHistoryLost = errors.New("registry: history lost")
	// ErrRefused means that the store answered that it did not execute the request.
	ErrRefused = errors.New("registry: refused by the store")
	// ErrLeaseEnded means that the lease of the daemon's own entry has ended.
	ErrLeaseEnded = errors.New("registry: lease ended")
	// ErrStoreRestored means that the store was restored since the lease of the daemon's own entry was granted. The lease must not be
	// used any more, since its number may have been granted again.
	ErrStoreRestored = errors.New("registry: store restored")
	// ErrEarlierEra means that an answer is of an earlier era of the store than is known, so that it counts as none.
	ErrEarlierEra = errors.New("registry: answer of an earlier era")
	// ErrEraChanged means that the store was restored repeatedly while it was read.
	ErrEraChanged = errors.New("registry: store restored while it was read")
)

// Update is the result of a read or a watch.
type Update struct {
	// Era is the store's era, and Revision its revision, after which the next watch continues.
	Era      directory.Era
	Revision directory.Revision
	// VerifiedAt is a time at which the store's content was certainly not newer than the update; zero if it is not known.
	VerifiedAt boottime.Time
	// EraKnownAt is a time at which the store was in Era already; zero if it is not known.
	EraKnownAt boottime.Time
	// Acknowledged is what the daemon that passed on the update knows of acknowledged configurations; zero in updates from the store.
	Acknowledged gossip.Acknowledgement
	// Complete means that the update lists all entries, so that an entry that it does not list no longer exists.
	Complete bool
	// Routing is nil if the update contains no readable version of the routing configuration.
	Routing *model.Routing
	Servers []ServerEntry
	Members []MemberEntry
	// Evacuations are changes of evacuated zones. A complete update lists all of them.
	Evacuations []Evacuation
	// Problems lists the entries, and parts of entries, that cannot be read.
	Problems []Problem
}

// Point returns the point in the store's history that the update leads to.
func (u *Update) Point() directory.Point {
	return directory.Point{Era: u.Era, Revision: u.Revision}
}

// Unchanged reports whether a watch after a point returned nothing.
func (u *Update) Unchanged(after directory.Point) bool {
	entries := len(u.Servers) + len(u.Members) + len(u.Evacuations) + len(u.Problems)
	return u.Point() == after && u.Routing == nil && entries == 0
}

// PeerUpdate is an update from the store that a daemon, the sender, passes on to a daemon that follows it.
type PeerUpdate struct {
	Update
	// Leaving lists servers that stated in replies that they are leaving, at most MaxLeaving, and LeavingUpTo is the sender's
	// sequence number up to which the list is complete.
	Leaving     []model.LeavingServer
	LeavingUpTo directory.LeavingSequence
	// ConfirmedAt is the latest time at which the store is known to have been at the update's revision.
	ConfirmedAt time.Time
	// StoreRestoredAt is when the store last answered the sender again after an outage; zero if there was none.
	StoreRestoredAt time.Time
	// StoreUnreachable means that the store does not answer the sender.
	StoreUnreachable bool
	// Protocol is the protocol version that the sender supports.
	Protocol model.Protocol
}

// MaxLeaving is the maximum number of leaving servers in a message between daemons.
const MaxLeaving = 128

// EntryState is the state of a server's key in the store.
type EntryState uint8

// The states of an entry.
const (
	// EntryPresent means that the key holds a registration.
	EntryPresent EntryState = iota
	// EntryRemoved means that the key no longer exists.
	EntryRemoved
	// EntryUnreadable means that the key holds a value that is not a usable registration.
	EntryUnreadable
)

// ServerEntry is a change of a server's entry.
type ServerEntry struct {
	Name     model.ServerName
	State    EntryState
	Revision directory.Revision
	// Registration and Sequence are set for EntryPresent only.
	Registration model.Registration
	Sequence     model.EntrySequence
}

// MemberEntry is a change of a daemon's entry.
type MemberEntry struct {
	Instance model.InstanceID
	// Gone means that the entry was removed or expired. Member is then not set.
	Gone   bool
	Member model.Member
}

// Evacuation states whether the operator wants no requests sent to the servers of a zone.
type Evacuation struct {
	Zone   model.AvailabilityZone
	Active bool
}

// Problem describes an entry, or a part of one, that cannot be read.
type Problem struct {
	Key string
	// Place is the position of the part in the entry. It is empty if the whole entry cannot be read.
	Place  string
	Reason string
}

// Reader reads the store.
type Reader interface {
	// Load reads all entries.
	Load(ctx context.Context) (Update, error)
	// Watch returns the changes after a point as soon as there are any, or an update without changes when wait has passed. It returns
	// ErrHistoryLost if the store is of a later era, and ErrEarlierEra if the answer is of an earlier one.
	Watch(ctx context.Context, after directory.Point, wait time.Duration) (Update, error)
	// Reconnect makes later calls use new connections, because messages on the kept ones may be lost without an error.
	Reconnect()
}

// Announcer maintains the daemon's own entry in the store.
type Announcer interface {
	// Announce writes the daemon's entry under a new lease, and returns the era in which the lease was granted. It returns
	// ErrStoreRestored if the store was restored meanwhile.
	Announce(ctx context.Context, self model.Member, ttl time.Duration) (directory.Era, error)
	// Renew extends the lease. It returns ErrLeaseEnded, ErrStoreRestored, or ErrEarlierEra if the answer is of an era before that of
	// the lease.
	Renew(ctx context.Context) error
	// Withdraw ends the lease and thereby removes the entry. It must not be called once the store is known to be restored since.
	Withdraw(ctx context.Context) error
}
