package memplatform

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/platform"
)

// Put implements platform.Writer.
func (p *Platform) Put(
	ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID,
) (platform.Version, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	var version platform.Version
	err := p.write(ctx, func(now time.Time) error {
		if err := p.checkPut(key, expect, lease); err != nil {
			return err
		}
		k := p.keys[key]
		if k == nil {
			k = &keyHistory{}
			p.keys[key] = k
		}
		k.version++
		version = k.version
		k.push(keyState{since: now, present: true, value: slices.Clone(value), version: version, lease: lease})
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// checkPut checks the preconditions of Put. The caller holds the lock.
func (p *Platform) checkPut(key string, expect platform.Version, lease platform.LeaseID) error {
	if p.current(key).version != expect {
		return platform.ErrConflict
	}
	if lease != "" && p.leases[lease] == nil {
		return platform.ErrNotFound
	}
	return nil
}

// Delete implements platform.Writer. It succeeds if the key does not exist and expect is 0.
func (p *Platform) Delete(ctx context.Context, key string, expect platform.Version) error {
	return p.write(ctx, func(now time.Time) error {
		s := p.current(key)
		if s.version != expect {
			return platform.ErrConflict
		}
		if s.present {
			p.keys[key].push(keyState{since: now})
		}
		return nil
	})
}

// Grant implements platform.Writer.
func (p *Platform) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var id platform.LeaseID
	err := p.write(ctx, func(now time.Time) error {
		p.granted++
		id = platform.LeaseID("lease-" + strconv.Itoa(p.granted))
		p.leases[id] = &lease{ttl: ttl, deadline: now.Add(ttl)}
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// Renew implements platform.Writer.
func (p *Platform) Renew(ctx context.Context, id platform.LeaseID) error {
	return p.write(ctx, func(now time.Time) error {
		l := p.leases[id]
		if l == nil {
			return platform.ErrNotFound
		}
		l.deadline = now.Add(l.ttl)
		return nil
	})
}

// Revoke implements platform.Writer.
func (p *Platform) Revoke(ctx context.Context, id platform.LeaseID) error {
	return p.write(ctx, func(now time.Time) error {
		if p.leases[id] == nil {
			return platform.ErrNotFound
		}
		p.endLease(id, now)
		return nil
	})
}

// write calls change with the lock held. It applies the faults that precede a call, and LostReplies after the change.
func (p *Platform) write(ctx context.Context, change func(now time.Time) error) error {
	if err := p.beforeCall(ctx, platform.ErrUnknown); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expireLeases(now)
	if err := change(now); err != nil {
		return err
	}
	p.notifyWatches()
	if p.faults.LostReplies {
		return errors.Wrap(platform.ErrUnknown, "memplatform: reply lost")
	}
	return nil
}
