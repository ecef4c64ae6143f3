package execute

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
)

// ErrMalformedClaim means that a claim in the store cannot be decoded.
var ErrMalformedClaim = errors.New("execute: malformed claim record")

// ClaimKey identifies a claim: the service and the idempotency key in its canonical form.
type ClaimKey struct {
	Service model.ServiceName
	Key     string
}

// ClaimStore stores claims. Its errors are those of platform.Store, and ErrMalformedClaim.
type ClaimStore interface {
	// Write replaces the claim if its version is expect; 0 means that there is none. It returns the new version.
	Write(ctx context.Context, key ClaimKey, r claim.Record, expect platform.Version) (platform.Version, error)
	// Read returns the claim with its version, or platform.ErrNotFound.
	Read(ctx context.Context, key ClaimKey) (claim.Record, platform.Version, error)
}

// prefixClaims is the prefix of the claims' keys in the store.
const prefixClaims = "claims/"

const (
	// leaseTTL is the time to live of the leases that claims are attached to. When a lease expires, the store removes all
	// its claims, so that no cleanup has to list them.
	leaseTTL = claim.RecordRetention + 2*leaseRenewalAge
	// leaseRenewalAge is the age of its lease at which a daemon obtains a new one for further claims.
	leaseRenewalAge = 30 * time.Minute
	// leaseMaxAge is the greatest age of a lease to which claims may still be attached. With it, every claim is kept for at
	// least claim.RecordRetention.
	leaseMaxAge = 2*leaseRenewalAge - time.Minute
)

// PlatformClaimStore implements ClaimStore on the platform's store. All claims of about half an hour share one lease,
// which costs two store writes an hour for each daemon that runs non-idempotent requests.
type PlatformClaimStore struct {
	Store platform.Store

	lease    atomic.Pointer[claimLease]
	granting atomic.Bool
}

type claimLease struct {
	id platform.LeaseID
	// granted is a time before the grant was sent, so that the lease expires no earlier than leaseTTL after it.
	granted time.Time
}

// age returns the greater of the lease's ages by the monotonic and by the wall clock: the monotonic clock stops while the
// instance is suspended, and the store's clock does not.
func (l *claimLease) age() time.Duration {
	now := time.Now()
	return max(now.Sub(l.granted), now.Round(0).Sub(l.granted.Round(0)))
}

// Write implements ClaimStore.
func (s *PlatformClaimStore) Write(ctx context.Context, key ClaimKey, r claim.Record, expect platform.Version) (
	platform.Version, error,
) {
	value, err := json.Marshal(r)
	if err != nil {
		panic("execute: claim cannot be encoded: " + err.Error())
	}
	held, err := s.currentLease(ctx)
	if err != nil {
		// Only the grant may have had an effect; the claim was not written.
		return 0, fmt.Errorf("execute: granting a lease: %w: %s", platform.ErrUnavailable, err.Error())
	}
	version, err := s.Store.Put(ctx, key.path(), value, expect, held.id)
	if errors.Is(err, platform.ErrNotFound) {
		// The store no longer has the lease. The next write obtains a new one.
		s.lease.CompareAndSwap(held, nil)
		return 0, fmt.Errorf("execute: the store no longer has the lease of the claims: %w", platform.ErrUnavailable)
	}
	return version, err
}

// Read implements ClaimStore.
func (s *PlatformClaimStore) Read(ctx context.Context, key ClaimKey) (claim.Record, platform.Version, error) {
	entry, err := s.Store.Get(ctx, key.path())
	if err != nil {
		return claim.Record{}, 0, err
	}
	var r claim.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return claim.Record{}, 0, fmt.Errorf("%w: %w", ErrMalformedClaim, err)
	}
	return r, entry.Version, nil
}

func (k ClaimKey) path() string { return prefixClaims + string(k.Service) + "/" + k.Key }

// currentLease returns the lease for new claims. Past leaseRenewalAge, one request obtains a new lease while the others
// continue with the old one; without a usable lease, each request obtains its own.
func (s *PlatformClaimStore) currentLease(ctx context.Context) (*claimLease, error) {
	current := s.lease.Load()
	if current == nil || current.age() > leaseMaxAge {
		return s.grant(ctx)
	}
	if current.age() > leaseRenewalAge && s.granting.CompareAndSwap(false, true) {
		defer s.granting.Store(false)
		if renewed, err := s.grant(ctx); err == nil {
			return renewed, nil
		}
	}
	return current, nil
}

func (s *PlatformClaimStore) grant(ctx context.Context) (*claimLease, error) {
	granted := time.Now()
	id, err := s.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	next := &claimLease{id: id, granted: granted}
	s.lease.Store(next)
	return next, nil
}
