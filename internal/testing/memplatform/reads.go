package memplatform

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
)

// Get implements platform.Reader.
func (p *Platform) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := p.beforeCall(ctx, platform.ErrUnavailable); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expireLeases(now)
	if k := p.keys[key]; k != nil {
		if s := k.at(now.Add(-p.faults.StaleBy)); s.present {
			return s.entry(key), nil
		}
	}
	return platform.Entry{}, platform.ErrNotFound
}

// List implements platform.Reader.
func (p *Platform) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := p.beforeCall(ctx, platform.ErrUnavailable); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expireLeases(now)
	out := []platform.Entry{}
	for key, k := range p.keys {
		s := k.at(now.Add(-p.faults.StaleBy))
		if s.present && strings.HasPrefix(key, prefix) {
			s.value = nil
			out = append(out, s.entry(key))
		}
	}
	slices.SortFunc(out, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Watch implements platform.Reader.
func (p *Platform) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (
	platform.Entry, error,
) {
	if err := p.beforeCall(ctx, platform.ErrUnavailable); err != nil {
		return platform.Entry{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s, f, changed := p.watchState(key)
		if f.Down {
			return platform.Entry{}, errors.Wrap(platform.ErrUnavailable, "memplatform: down")
		}
		if s.present && s.version > after {
			pool.Sleep(ctx, f.StaleBy)
			return s.entry(key), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return platform.Entry{}, platform.ErrNotFound
		case <-ctx.Done():
			return platform.Entry{}, contextError(ctx, platform.ErrUnavailable)
		}
	}
}

// watchState returns the current state of a key, the faults and the channel that is closed at the next change.
func (p *Platform) watchState(key string) (keyState, Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(p.now())
	return p.current(key), p.faults, p.changed
}

// Instances implements platform.InstanceList.
func (p *Platform) Instances(ctx context.Context, q platform.InstanceQuery) ([]platform.Instance, error) {
	if err := p.beforeCall(ctx, platform.ErrUnavailable); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := p.now().Add(-p.faults.ListLag)
	out := []platform.Instance{}
	for _, list := range slices.Backward(p.lists) {
		if list.since.After(asOf) {
			continue
		}
		for _, in := range list.instances {
			if matches(q, in) {
				out = append(out, in)
			}
		}
		break
	}
	return out, nil
}

// matches reports whether an instance has the role, zone and state of a query. An empty field of the query matches all.
func matches(q platform.InstanceQuery, in platform.Instance) bool {
	return (q.Role == "" || q.Role == in.Role) &&
		(q.Zone == "" || q.Zone == in.Zone) &&
		(q.State == "" || q.State == in.State)
}
