package configread

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// ErrNoConfiguration is returned if the store has no configuration yet.
var ErrNoConfiguration = errors.New("configread: there is no configuration")

// maxRootsSearched is the maximum number of roots, from the head back, that are searched for a revision. Each costs one
// read of the store.
const maxRootsSearched = 1000

// storeTimeout bounds the reads from the store, so that Get can still return the revision in force in time.
const storeTimeout = 10 * time.Second

// Source says where a revision was read from.
type Source string

// The sources of a revision.
const (
	SourceStore Source = "store"
	// SourceInForce means that the store could not be read and that this is the revision that the daemon has in force.
	SourceInForce Source = "in_force"
)

// Config is one revision of the configuration.
type Config struct {
	Revision model.Revision
	// Root is nil with SourceInForce.
	Root      *configdoc.Root
	Inventory model.Inventory
	Rules     model.Rules
	Source    Source
}

// Reader reads revisions from the store. The revision in force is available even if the store cannot be read.
type Reader struct {
	Store configstore.Reader
	// InForce has the revision in force. If it is nil, all revisions are read from the store.
	InForce *tables.Config
}

// Get returns a revision; 0 stands for the current one. If the store cannot be read and InForce has the revision, it returns
// that. Errors are ErrNoConfiguration, configstore.ErrNoRevision, configstore.ErrCollected and those of the store.
func (r Reader) Get(ctx context.Context, revision model.Revision) (Config, error) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.getFromStore(limited, revision)
	if err == nil || errors.IsAny(err, ErrNoConfiguration, configstore.ErrNoRevision, configstore.ErrCollected) {
		return c, err
	}
	if t := r.inForce(); t != nil && (revision == 0 || revision == t.Revision) {
		return Config{Revision: t.Revision, Inventory: t.Inventory, Rules: t.Rules, Source: SourceInForce}, nil
	}
	return c, err
}

func (r Reader) inForce() *model.Topology {
	if r.InForce == nil {
		return nil
	}
	return r.InForce.Current()
}

func (r Reader) getFromStore(ctx context.Context, revision model.Revision) (Config, error) {
	head, err := r.Store.Head(ctx)
	if err != nil {
		return Config{}, err
	}
	if head.Root == nil {
		return Config{}, ErrNoConfiguration
	}
	root := head.Root
	if revision != 0 {
		chain, err := r.Store.Chain(ctx, root, revision, maxRootsSearched)
		if err != nil {
			return Config{}, err
		}
		root = chain[len(chain)-1]
	}
	inv, rules, err := r.Store.Load(ctx, root)
	return Config{Revision: root.Revision, Root: root, Inventory: inv, Rules: rules, Source: SourceStore}, err
}
