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

// ErrMalformedClaim means that a claim in the store cannot be read.
var ErrMalformedClaim = errors.New("execute: malformed claim record")

// ClaimKey identifies a claim: the service and the idempotency key in its canonical form.
type ClaimKey struct {
	Service model.ServiceName
	Key     string
}

// ClaimStore keeps claims. Its errors are those of platform.Store, and ErrMalformedClaim.
type ClaimStore interface {
	// Write replaces the claim if its version is expect; 0 means that there is none. It returns the new version.
	Write(ctx context.Context, key ClaimKey, r claim.Record, expect platform.Version) (platform.Version, error)
	// Read returns the claim with its version, or platform.ErrNotFound.
	Read(ctx context.Context, key ClaimKey) (claim.Record, platform.Version, error)
}

// prefixClaims is the prefix of the claims' keys in the store.
const prefixClaims = "claims/"

const (
	// leaseTTL is the time to live of the leases that claims attach to. The store removes the claims of a lease together
	// when it lapses, so that nothing has to list them.
	leaseTTL = claim.RecordRetention + 2*leaseRenewal
	// leaseRenewal is the age at which a daemon takes a new lease for its further claims.
	leaseRenewal = 30 * time.Minute
	// leaseMaxAge is the greatest age of a lease that claims may attach to; they are kept for claim.RecordRetention at least.
	leaseMaxAge = 2*leaseRenewal - time.Minute
)

// PlatformClaimStore implements ClaimStore over the platform's store. All claims of about half an hour share one lease, which
// costs two store writes an hour for each daemon that runs non-idempotent requests.
type PlatformClaimStore struct {
	Store platform.Store

	lease    atomic.Pointer[claimLease]
	granting atomic.Bool
}

type claimLease struct {
	id platform.LeaseID
	// granted is from before the grant was sent, so that the lease lapses no earlier than leaseTTL after it.
	granted time.Time
}

// age is the greater of the lease's ages by the monotonic and by the wall clock: the monotonic clock stands still while
// the instance is suspended, and the store's does not.
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
		// The store no longer has the lease. The next write takes a new one.
		s.lease.CompareAndSwap(held, nil)
		return 0, fmt.Errorf("execute: the claims' lease is gone: %w", platform.ErrUnavailable)
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

// currentLease returns the lease for new claims. One request renews it in good time while the others go on with the old
// one; only without a usable lease does each request ask for its own.
func (s *PlatformClaimStore) currentLease(ctx context.Context) (*claimLease, error) {
	current := s.lease.Load()
	if current == nil || current.age() > leaseMaxAge {
		return s.grant(ctx)
	}
	if current.age() > leaseRenewal && s.granting.CompareAndSwap(false, true) {
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
