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
	// RetainedRevisions is the number of newest revisions whose parts are kept, so that a rollback can reach them.
	RetainedRevisions = 50
	// collectorLeaseTTL is how long one collection excludes others. Deletes are sent only in the first half, so that a
	// delayed delete still arrives before the lease expires.
	collectorLeaseTTL = 10 * time.Minute
)

// ErrCollectionRunning means that another collection holds the collector's lease. A collection that has ended may still hold
// it; see Collect.
var ErrCollectionRunning = errors.New("configure: another collection is running")

// CollectionResult reports what a collection did. Its fields are numbers of parts.
type CollectionResult struct {
	// Kept counts the parts that a retained revision references, Removed those that were deleted.
	Kept    int
	Removed int
	// Skipped counts unused parts that changed after they were listed, or that were left because the timeout passed.
	Skipped int
	// Unconfirmed counts unused parts whose delete failed or got no reply.
	Unconfirmed int
}

// Collect is the garbage collection of parts: it removes those that none of the newest RetainedRevisions roots
// references.
//
// It never removes a part that a concurrent writer needs. The collection reads the head, lists the parts with their
// versions, and then rewrites the head with the same root, which raises the head's version. Consider a writer that makes
// a root referencing part P while the collection is about to remove P:
//
//   - If the writer read the head before the rewrite, its own replacement of the head expects an old version and fails.
//     It starts again from the new head.
//   - If it read the head after the rewrite, it either writes P or finds P present. A P that it finds is accepted only if
//     P was modified after the head that the writer builds on; otherwise the writer writes P again. Either way P's
//     version is higher than the listed one, and the delete, which expects the listed version, fails.
//   - It relies on P without writing it only if the head references P. The parts of the rewritten head are kept, and every
//     later head was written by a writer of the second kind.
//
// Versions start again at 1 after a delete, so a delayed delete that arrives after P was removed and written again could
// remove the new P. A collection therefore deletes each part at most once and does not repeat a call whose reply was
// lost. A lease on config/collector excludes other collections while such a delete may still arrive; it is left to
// expire if a delete was not confirmed.
//
// The argument requires that the store's clock does not go backwards between the rewrite of the head and the writes after it.
//
// Records of roots are never removed: they are the audit trail.
func (c *Configurer) Collect(ctx context.Context) (CollectionResult, error) {
	window := lease.Window{Start: c.Now(), TTL: collectorLeaseTTL / 2}
	leaseID, err := c.acquireCollectorLease(ctx)
	if err != nil {
		return CollectionResult{}, err
	}
	windowCtx, cancel := context.WithTimeout(ctx, window.TTL)
	defer cancel()
	result, err := c.collect(windowCtx, window)
	if result.Unconfirmed == 0 {
		// If the revocation fails, the lease expires by itself.
		_ = c.Store.Revoke(ctx, leaseID)
	}
	return result, err
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

// acquireCollectorLease acquires the lease that excludes other collections. A lost reply counts as a failure: the lease
// then expires by itself.
func (c *Configurer) acquireCollectorLease(ctx context.Context) (platform.LeaseID, error) {
	id, err := c.Store.Grant(ctx, collectorLeaseTTL)
	if err != nil {
		return "", errors.Wrap(err, "granting the collector's lease")
	}
	_, err = c.Store.Put(ctx, configdoc.KeyCollector, []byte("{}"), 0, id)
	if errors.Is(err, platform.ErrConflict) {
		return "", ErrCollectionRunning
	}
	return id, errors.Wrap(err, "acquiring the collector's lease")
}

// usedParts returns the keys of the parts that the newest RetainedRevisions roots reference.
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

// fenceWriters rewrites the head with the same root, so that writers that read the head before fail. If the reply is
// lost, the head is read back: a higher version with the same root has the same effect, since a root that was replaced
// never becomes the head again.
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

// removeUnused deletes the listed parts that are not used. It checks the window of the lease before each delete: after a
// pause of the process, ctx may be cancelled only after the next delete was sent.
func (c *Configurer) removeUnused(
	ctx context.Context, window lease.Window, listed []platform.Entry, used map[string]bool,
) CollectionResult {
	var result CollectionResult
	for _, part := range listed {
		if used[part.Key] {
			result.Kept++
			continue
		}
		if ctx.Err() != nil || !window.Valid(c.Now()) {
			result.Skipped++
			continue
		}
		err := c.Store.Delete(ctx, part.Key, part.Version)
		switch {
		case err == nil:
			result.Removed++
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
			result.Skipped++
		default:
			result.Unconfirmed++
		}
	}
	return result
}
