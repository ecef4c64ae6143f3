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

// ErrNoConfiguration means that there is no configuration yet.
var ErrNoConfiguration = errors.New("configread: there is no configuration")

// maxWalk bounds how far back from the head a revision is looked for, one read of the store each.
const maxWalk = 1000

// storeTimeout bounds the reads of a revision, so that the answer from what is in force does not come too late.
const storeTimeout = 10 * time.Second

// Source tells where a revision was read from.
type Source string

// The sources.
const (
	SourceStore Source = "store"
	// SourceInForce: the store did not answer, and this is what the daemon has in force.
	SourceInForce Source = "in_force"
)

// Config is one revision.
type Config struct {
	Revision model.Revision
	// Root is nil with SourceInForce.
	Root      *configdoc.Root
	Inventory model.Inventory
	Rules     model.Rules
	Source    Source
}

// Reader reads revisions from the store, and the one in force also without it.
type Reader struct {
	Store configstore.Reader
	// InForce may be nil.
	InForce *tables.Config
}

// Get returns a revision; 0 stands for the current one. Errors are ErrNoConfiguration, configstore.ErrNoRevision,
// configstore.ErrCollected and those of the store.
func (r Reader) Get(ctx context.Context, revision model.Revision) (Config, error) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.fromStore(limited, revision)
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

func (r Reader) fromStore(ctx context.Context, revision model.Revision) (Config, error) {
	head, err := r.Store.Head(ctx)
	if err != nil {
		return Config{}, err
	}
	if head.Root == nil {
		return Config{}, ErrNoConfiguration
	}
	root := head.Root
	if revision != 0 {
		chain, err := r.Store.Chain(ctx, root, revision, maxWalk)
		if err != nil {
			return Config{}, err
		}
		root = chain[len(chain)-1]
	}
	inv, rules, err := r.Store.Load(ctx, root)
	return Config{Revision: root.Revision, Root: root, Inventory: inv, Rules: rules, Source: SourceStore}, err
}
