// Package registry defines what the product reads from and writes to the platform's store where the platform's operator
// keeps the routing configuration there and the backend servers register themselves.
package registry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
)

// Errors that a Registry returns; test with errors.Is. Every other error means that the store was not reached or did not
// answer.
var (
	// ErrHistoryLost: the store no longer holds the changes since the given revision.
	ErrHistoryLost = errors.New("registry: history lost")
	// ErrRefused: the store answered that it did nothing.
	ErrRefused = errors.New("registry: refused by the store")
	// ErrLeaseEnded: the lease of the daemon's own entry has ended.
	ErrLeaseEnded = errors.New("registry: lease ended")
)

// Update is what a read or a watch brought.
type Update struct {
	// Revision is the store's, from which the next watch continues.
	Revision directory.Revision
	// Complete tells that the update lists everything, so that what it does not name is gone.
	Complete bool
	// Routing is nil if the update brought no version that can be read.
	Routing *model.Routing
	Servers []ServerEntry
	Members []MemberEntry
	// Problems describe entries that cannot be read, with their keys.
	Problems []Problem
}

// PeerUpdate is what another daemon heard from the store, as told to a daemon that follows it.
type PeerUpdate struct {
	Update
	// ConfirmedAt is when the store was last heard to be at the update's revision.
	ConfirmedAt time.Time
	// StoreRestoredAt is when the store answered again after it had not; zero if it never failed.
	StoreRestoredAt time.Time
	// StoreUnreachable tells that the store does not answer the other daemon.
	StoreUnreachable bool
}

// EntryState says what the store holds under a server's key.
type EntryState uint8

// The states of an entry.
const (
	// EntryPresent: the key holds a registration.
	EntryPresent EntryState = iota
	// EntryRemoved: the key is gone.
	EntryRemoved
	// EntryUnreadable: the key holds something that names no server to use.
	EntryUnreadable
)

// ServerEntry is a change of one server's entry.
type ServerEntry struct {
	Name     model.ServerName
	State    EntryState
	Revision directory.Revision
	// Registration is set for EntryPresent only.
	Registration model.Registration
}

// MemberEntry is a change of one daemon's entry.
type MemberEntry struct {
	Instance model.InstanceID
	// Gone tells that the entry was removed or lapsed.
	Gone   bool
	Member model.Member
}

// Problem is an entry that cannot be read.
type Problem struct {
	Key    string
	Reason string
}

// Reader reads the store.
type Reader interface {
	// Load reads everything.
	Load(ctx context.Context) (Update, error)
	// Watch returns the changes after a revision as soon as there are any, or an update without changes after wait.
	Watch(ctx context.Context, after directory.Revision, wait time.Duration) (Update, error)
}

// Announcer keeps the daemon's own entry.
type Announcer interface {
	// Announce writes the daemon's entry under a new lease.
	Announce(ctx context.Context, self model.Member, ttl time.Duration) error
	// Renew extends the lease, or returns ErrLeaseEnded.
	Renew(ctx context.Context) error
	// Withdraw ends the lease and thereby removes the entry.
	Withdraw(ctx context.Context) error
}
