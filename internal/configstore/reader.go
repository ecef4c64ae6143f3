package configstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
)

// Errors that a Reader returns.
var (
	// ErrNoRevision means that the revision does not exist, or is further back than the limit of Chain.
	ErrNoRevision = errors.New("configstore: no such revision")
	// ErrCollected means that a part of the revision is no longer kept.
	ErrCollected = errors.New("configstore: parts of the revision are no longer kept")
)

// Reader reads the configuration from a store.
type Reader struct {
	Store platform.Reader
	// Backoff limits repeated reads; the zero value means DefaultBackoff.
	Backoff Backoff
}

// Head is the store's current configuration.
type Head struct {
	// Version is 0 if there is no configuration yet.
	Version    platform.Version
	ModifiedAt time.Time
	// Root is nil if there is no configuration yet.
	Root *configdoc.Root
	// Value is the root as stored, and Hash the hash of its record.
	Value []byte
	Hash  configdoc.Hash
}

// Revision returns the head's revision, or 0.
func (h Head) Revision() model.Revision {
	if h.Root == nil {
		return 0
	}
	return h.Root.Revision
}

// Head reads the head. The result may be stale: callers must compare versions where that matters.
func (r Reader) Head(ctx context.Context) (Head, error) {
	e, err := r.get(ctx, configdoc.KeyHead, false)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	head := Head{Version: e.Version, ModifiedAt: e.ModifiedAt, Value: e.Value}
	if head.Root, err = configdoc.DecodeRoot(e.Value); err == nil {
		_, head.Hash = head.Root.Record()
	}
	return head, err
}

// Root reads the record with the given hash. It has parts only if it is a root written before records were introduced.
func (r Reader) Root(ctx context.Context, hash configdoc.Hash) (*configdoc.Root, error) {
	e, err := r.get(ctx, configdoc.PrefixRoots+string(hash), true)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrapf(ErrNoRevision, "root %s", hash)
	}
	if err != nil {
		return nil, err
	}
	if configdoc.HashOf(e.Value) != hash {
		return nil, errors.Wrapf(configdoc.ErrCorrupt, "root %s does not match its hash", hash)
	}
	return configdoc.DecodeRoot(e.Value)
}

// Previous reads the previous root, or returns nil for the first revision. The result has its parts if root has its own.
func (r Reader) Previous(ctx context.Context, root *configdoc.Root) (*configdoc.Root, error) {
	if root.Previous == "" {
		return nil, nil
	}
	prev, err := r.Root(ctx, root.Previous)
	if err != nil {
		return nil, err
	}
	return prev, prev.RestoreParts(root)
}

// Chain returns the roots from the given one back to the revision oldest, or back to the first revision if oldest is 0, newest
// first. It returns ErrNoRevision if the revision does not exist or more than limit roots would be needed.
func (r Reader) Chain(ctx context.Context, root *configdoc.Root, oldest model.Revision, limit int) ([]*configdoc.Root, error) {
	var chain []*configdoc.Root
	for root != nil && root.Revision >= oldest && len(chain) < limit {
		chain = append(chain, root)
		if root.Revision == oldest {
			return chain, nil
		}
		var err error
		if root, err = r.Previous(ctx, root); err != nil {
			return nil, err
		}
	}
	if oldest == 0 && root == nil {
		return chain, nil
	}
	return nil, errors.Wrapf(ErrNoRevision, "revision %d", oldest)
}

// Load reads and joins the parts of a root.
func (r Reader) Load(ctx context.Context, root *configdoc.Root) (model.Inventory, model.Rules, error) {
	values := make(map[configdoc.Hash][]byte, len(root.Parts))
	if err := r.LoadValues(ctx, root, values); err != nil {
		return model.Inventory{}, model.Rules{}, err
	}
	return configdoc.Join(root, func(h configdoc.Hash) []byte { return values[h] })
}

// LoadValues reads the parts of a root into values, by hash. It returns ErrCollected if a part is no longer kept.
func (r Reader) LoadValues(ctx context.Context, root *configdoc.Root, values map[configdoc.Hash][]byte) error {
	for _, name := range root.SortedParts() {
		hash := root.Parts[name]
		e, err := r.get(ctx, configdoc.PrefixParts+string(hash), true)
		if errors.Is(err, platform.ErrNotFound) {
			return errors.Wrapf(ErrCollected, "revision %d, part %s", root.Revision, name)
		}
		if err != nil {
			return err
		}
		values[hash] = e.Value
	}
	return nil
}

// get reads an entry and repeats failed reads. The key of an immutable value is known to have been written, so ErrNotFound
// may be a stale answer and the read is repeated too.
func (r Reader) get(ctx context.Context, key string, immutable bool) (platform.Entry, error) {
	err := platform.ErrUnavailable
	for range r.Backoff.OrDefault().Attempts(ctx) {
		var e platform.Entry
		e, err = r.getOnce(ctx, key)
		if err == nil || (errors.Is(err, platform.ErrNotFound) && !immutable) {
			return e, err
		}
	}
	return platform.Entry{}, errors.Wrapf(err, "reading %s", key)
}

func (r Reader) getOnce(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return r.Store.Get(ctx, key)
}
