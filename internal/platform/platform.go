package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Errors that a Store returns; test with errors.Is.
var (
	// ErrConflict: the key's version differs from the expected one, so nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrNotFound: the key or the lease does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable: the store could not be reached or refused the request. A write had no effect.
	ErrUnavailable = errors.New("platform: store unavailable")
	// ErrUnknown: the request may have been sent and no valid reply came. A write may have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

// Version counts the writes of a key, starting at 1. As an expected version, 0 means that the key must not exist.
type Version uint64

// LeaseID identifies a lease; the empty string means none.
type LeaseID string

// Entry is a key's value with its version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// ModifiedAt is the time of the last write by the store's clock.
	ModifiedAt time.Time
}

// Reader reads from the store.
type Reader interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, without their values, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch returns the entry once its version exceeds after, or ErrNotFound if wait passes without a change.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
}

// Writer writes to the store.
type Writer interface {
	// Put replaces the value if the key's version is expect, and returns the new version. The key is deleted when the
	// lease ends, unless lease is empty.
	Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl from now, or returns ErrNotFound if it has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Store is the platform's key-value service.
type Store interface {
	Reader
	Writer
}

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// InstanceRole states what an instance runs.
type InstanceRole string

// The roles of an instance.
const (
	RoleEntry  InstanceRole = "entry"
	RoleServer InstanceRole = "server"
)

// Instance is one row of the platform's instance list. For RoleServer, Name is the backend server's name in the inventory.
// For RoleEntry, Name is the daemon's InstanceID and Address is the address of its peers' port.
type Instance struct {
	Name    string                 `json:"name"`
	Role    InstanceRole           `json:"role"`
	Zone    model.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"`
	State   InstanceState          `json:"state"`
}

// InstanceQuery selects rows of the instance list; an empty field matches all values.
type InstanceQuery struct {
	Role  InstanceRole
	Zone  model.AvailabilityZone
	State InstanceState
}

// InstanceList is the platform's list of instances, which may be out of date.
type InstanceList interface {
	// Instances returns the rows that match q.
	Instances(ctx context.Context, q InstanceQuery) ([]Instance, error)
}
