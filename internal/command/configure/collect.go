package configure

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/decision/lease"
	"oleandersill.example/oleandersill/internal/platform"
)

const (
	// RetainedRevisions is the number of newest revisions whose parts are kept, so that rollback reaches them.
	RetainedRevisions = 50
	// collectorLease is the time for which one collection excludes others. Deletes are sent only in its first half, so
	// that one that is delivered late still arrives within it.
	collectorLease = 10 * time.Minute
)

// ErrCollectionRunning means that another instance is collecting.
var ErrCollectionRunning = errors.New("configure: another collection is running")

// CollectionResult is the end of a collection.
type CollectionResult struct {
	// Kept and Removed count parts.
	Kept    int
	Removed int
	// Skipped counts unused parts that were written meanwhile, or that were left because time was up.
	Skipped int
	// Unconfirmed counts unused parts whose delete was not answered.
	Unconfirmed int
}

// Collect removes the parts that none of the newest RetainedRevisions roots names.
//
// It never takes a part that a racing writer needs. The collection reads the head, lists the parts with their versions,
// and then rewrites the head with the same root, which raises the head's version. Consider a writer that makes a root
// naming part P which the collection wants to remove:
//
//   - If the writer read the head before the rewrite, its own replacement of the head expects an old version and fails.
//     It starts again from the new head.
//   - If it read the head after the rewrite, it either writes P anew or finds it there. If it finds it, it accepts it only
//     if P was modified after the head that it builds on, and otherwise writes P again itself. Either way P's version
//     is higher than the listed one, and the delete, which expects the listed version, fails.
//   - It relies on P without writing it only if the head names P. The rewritten head's parts are kept, and every later
//     head came from a writer of the second kind.
//
// Versions start again at 1 after a delete, so a delete that arrives after P was removed and written anew could remove
// the new P. Each part is therefore deleted at most once in a collection, without repeating a lost call, and a lease on
// config/collector, which is left to lapse if a delete was not answered, excludes other collections while such a delete
// may still be on its way.
//
// The argument relies on the store's clock not going back between the rewrite of the head and the writes after it.
//
// Records of roots are never removed: they are the audit trail.
func (c *Configurer) Collect(ctx context.Context) (CollectionResult, error) {
	window := lease.Window{Start: c.Now(), TTL: collectorLease / 2}
	held, err := c.lockCollector(ctx)
	if err != nil {
		return CollectionResult{}, err
	}
	limited, cancel := context.WithTimeout(ctx, window.TTL)
	defer cancel()
	done, err := c.collect(limited, window)
	if done.Unconfirmed == 0 {
		// Without an answer the lease lapses by itself.
		_ = c.Store.Revoke(ctx, held)
	}
	return done, err
}

func (c *Configurer) collect(ctx context.Context, window lease.Window) (CollectionResult, error) {
	head, err := c.reader().Head(ctx)
	if err != nil || head.Root == nil {
		return CollectionResult{}, err
	}
	used, err := c.usedParts(ctx, head)
	if err != nil {
		return CollectionResult{}, err
	}
	listed, err := c.Store.List(ctx, configdoc.PrefixParts)
	if err != nil {
		return CollectionResult{}, errors.Wrap(err, "listing parts")
	}
	if err := c.fenceWriters(ctx, head); err != nil {
		return CollectionResult{}, err
	}
	return c.removeUnused(ctx, window, listed, used), nil
}

// lockCollector takes the lease that excludes other collections. A lost reply counts as not taken: the lease then
// lapses by itself.
func (c *Configurer) lockCollector(ctx context.Context) (platform.LeaseID, error) {
	id, err := c.Store.Grant(ctx, collectorLease)
	if err != nil {
		return "", errors.Wrap(err, "granting the collector's lease")
	}
	_, err = c.Store.Put(ctx, configdoc.KeyCollector, []byte("{}"), 0, id)
	if errors.Is(err, platform.ErrConflict) {
		return "", ErrCollectionRunning
	}
	return id, errors.Wrap(err, "taking the collector's lease")
}

// usedParts returns the keys of the parts that the newest roots name.
func (c *Configurer) usedParts(ctx context.Context, head configstore.Head) (map[string]bool, error) {
	used := map[string]bool{}
	root := head.Root
	for i := 0; root != nil && i < RetainedRevisions; i++ {
		for _, hash := range root.Parts {
			used[configdoc.PrefixParts+string(hash)] = true
		}
		var err error
		if root, err = c.reader().Previous(ctx, root); err != nil {
			return nil, err
		}
	}
	return used, nil
}

// fenceWriters rewrites the head with the same root, so that writers that read it before fail. A lost reply is read
// back: a higher version with the same root is as good, since a root that was replaced never comes back.
func (c *Configurer) fenceWriters(ctx context.Context, head configstore.Head) error {
	err := c.put(ctx, configdoc.KeyHead, head.Value, head.Version)
	if err == nil {
		return nil
	}
	e, readErr := c.get(ctx, configdoc.KeyHead)
	if readErr == nil && e.Version > head.Version && bytes.Equal(e.Value, head.Value) {
		return nil
	}
	return errors.Wrap(err, "rewriting the head")
}

// removeUnused checks the window of the lease before each delete: after a pause of the process, ctx may end later than
// the next delete is sent.
func (c *Configurer) removeUnused(
	ctx context.Context, window lease.Window, listed []platform.Entry, used map[string]bool,
) CollectionResult {
	var done CollectionResult
	for _, part := range listed {
		if used[part.Key] {
			done.Kept++
			continue
		}
		if ctx.Err() != nil || !window.Valid(c.Now()) {
			done.Skipped++
			continue
		}
		err := c.Store.Delete(ctx, part.Key, part.Version)
		switch {
		case err == nil:
			done.Removed++
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
			done.Skipped++
		default:
			done.Unconfirmed++
		}
	}
	return done
}
