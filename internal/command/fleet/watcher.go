package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	watchWait  = 20 * time.Second
	retryDelay = 200 * time.Millisecond
)

// Watcher follows the head in the store and installs new revisions.
type Watcher struct {
	Store  platform.Reader
	Config *tables.Config
	// Adopt is called with every Topology before it is put in force.
	Adopt func(*model.Topology, time.Time)
	Log   zerolog.Logger
}

// Run follows the head until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var seen platform.Version
	for ctx.Err() == nil {
		e, err := w.Store.Watch(ctx, configdoc.KeyHead, seen, watchWait)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err == nil {
			err = w.take(ctx, e.Value)
		}
		if err != nil {
			w.Log.Warn().Err(err).Msg("config_watch_failed")
			pause(ctx, retryDelay)
			continue
		}
		seen = e.Version
	}
}

func (w *Watcher) take(ctx context.Context, value []byte) error {
	root, err := configdoc.DecodeRoot(value)
	if err != nil {
		return err
	}
	values := map[configdoc.Hash][]byte{}
	for _, name := range root.SortedParts() {
		hash := root.Parts[name]
		e, err := w.Store.Get(ctx, configdoc.PrefixParts+string(hash))
		if err != nil {
			return err
		}
		values[hash] = e.Value
	}
	inv, rules, err := configdoc.Join(root, func(h configdoc.Hash) []byte { return values[h] })
	if err != nil {
		return err
	}
	t := model.NewTopology(root.Revision, inv, rules)
	w.Adopt(t, time.Now())
	if w.Config.Install(t) {
		w.Log.Info().Uint64("revision", uint64(root.Revision)).Str("editor", root.Editor).Msg("config_in_force")
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
