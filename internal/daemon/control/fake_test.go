package control_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
)

// fakePlatform is an in-memory store and instance list.
type fakePlatform struct {
	mu        sync.Mutex
	values    map[string]platform.Entry
	instances []platform.Instance
	changed   chan struct{}
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string]platform.Entry{}, changed: make(chan struct{})}
}

func (p *fakePlatform) put(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = platform.Entry{Key: key, Value: value, Version: p.values[key].Version + 1}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) get(key string) (platform.Entry, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key], p.changed
}

func (p *fakePlatform) setState(name string, state platform.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.DeleteFunc(p.instances, func(in platform.Instance) bool { return in.Name == name })
	p.instances = append(p.instances, platform.Instance{Name: name, Role: platform.RoleServer, State: state})
}

// publish writes a configuration in the same order as package configure.
func (p *fakePlatform) publish(rev model.Revision, inv model.Inventory) {
	p.publishParts(rev, inv, func(_ configdoc.PartName, value []byte) []byte { return value })
}

// publishParts writes a configuration and stores for each part the value that corrupt returns. The parts are written before
// the head, so that no daemon can read their correct values.
func (p *fakePlatform) publishParts(
	rev model.Revision, inv model.Inventory, corrupt func(configdoc.PartName, []byte) []byte,
) {
	root := &configdoc.Root{Revision: rev, Editor: "test", Parts: map[configdoc.PartName]configdoc.Hash{}}
	for name, part := range configdoc.Split(inv, model.Rules{}) {
		root.Parts[name] = part.Hash
		p.put(configdoc.PrefixParts+string(part.Hash), corrupt(name, part.Value))
	}
	p.put(configdoc.PrefixRoots+string(configdoc.HashOf(root.Encode())), root.Encode())
	p.put(configdoc.KeyHead, root.Encode())
}

// link is one daemon's connection to the platform, with injected faults.
type link struct {
	platform *fakePlatform

	mu    sync.Mutex
	down  bool
	delay time.Duration
	// stale is the head that a lagging replica of the store answers with, or nil.
	stale *platform.Entry
}

func (l *link) update(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// applyFaults waits for the delay and returns the error or the stale head that the faults cause.
func (l *link) applyFaults(ctx context.Context) (stale *platform.Entry, err error) {
	l.mu.Lock()
	down, delay, stale := l.down, l.delay, l.stale
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if down {
		return nil, platform.ErrUnavailable
	}
	return stale, nil
}

// Get implements platform.Reader.
func (l *link) Get(ctx context.Context, key string) (platform.Entry, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return platform.Entry{}, err
	}
	e, _ := l.platform.get(key)
	if e.Version == 0 {
		return e, platform.ErrNotFound
	}
	return e, nil
}

// List implements platform.Reader.
func (l *link) List(context.Context, string) ([]platform.Entry, error) {
	return nil, platform.ErrUnavailable
}

// Watch implements platform.Reader.
func (l *link) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (
	platform.Entry, error,
) {
	deadline := time.After(wait)
	for {
		stale, err := l.applyFaults(ctx)
		if err != nil {
			return platform.Entry{}, err
		}
		if stale != nil {
			return *stale, nil
		}
		e, changed := l.platform.get(key)
		if e.Version > after {
			return e, nil
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // checks again whether the link is down
		case <-deadline:
			return platform.Entry{}, platform.ErrNotFound
		case <-ctx.Done():
			return platform.Entry{}, ctx.Err()
		}
	}
}

// Instances implements platform.InstanceList.
func (l *link) Instances(ctx context.Context, q platform.InstanceQuery) ([]platform.Instance, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	l.platform.mu.Lock()
	defer l.platform.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.platform.instances), func(in platform.Instance) bool {
		return in.Role != q.Role || (q.Zone != "" && in.Zone != q.Zone) || (q.State != "" && in.State != q.State)
	}), nil
}
