package configure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
)

// Verdict is what the configurer can truthfully say about a change.
type Verdict string

// The verdicts.
const (
	Accepted    Verdict = "accepted"
	NotAccepted Verdict = "not_accepted"
	Unknown     Verdict = "unknown"
)

// Change is a whole configuration that an operator wants in force.
type Change struct {
	Inventory model.Inventory
	Rules     model.Rules
	// Expect is the revision that the operator's edit started from.
	Expect model.Revision
	Editor string
	Reason string
}

// Result is the end of an apply.
type Result struct {
	Verdict Verdict
	// Root is the accepted root, or with NotAccepted after a conflict the root that is in the store instead.
	Root *configdoc.Root
	// Detail says why a change was not accepted or is unknown.
	Detail string
}

// Configurer applies changes to one store.
type Configurer struct {
	Store platform.Store
	Now   func() time.Time
}

// Apply writes the change if the store's revision is the expected one.
func (c *Configurer) Apply(ctx context.Context, ch Change) Result {
	head, root, err := c.readHead(ctx)
	if err != nil {
		return Result{Verdict: NotAccepted, Detail: err.Error()}
	}
	if revisionOf(root) != ch.Expect {
		return Result{Verdict: NotAccepted, Root: root, Detail: "the configuration has changed since the expected revision"}
	}
	parts := configdoc.Split(ch.Inventory, ch.Rules)
	next := c.nextRoot(root, head.Value, ch, parts)
	if err := c.writeParts(ctx, root, parts); err != nil {
		return Result{Verdict: NotAccepted, Root: root, Detail: err.Error()}
	}
	return c.writeRoot(ctx, next, head.Version)
}

func revisionOf(r *configdoc.Root) model.Revision {
	if r == nil {
		return 0
	}
	return r.Revision
}

// readHead returns the head and its root, or a nil root if there is no configuration yet.
func (c *Configurer) readHead(ctx context.Context) (platform.Entry, *configdoc.Root, error) {
	head, err := c.Store.Get(ctx, configdoc.KeyHead)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil, nil
	}
	if err != nil {
		return platform.Entry{}, nil, err
	}
	root, err := configdoc.DecodeRoot(head.Value)
	return head, root, err
}

func (c *Configurer) nextRoot(
	prev *configdoc.Root, prevValue []byte, ch Change, parts map[configdoc.PartName]configdoc.Part,
) *configdoc.Root {
	next := &configdoc.Root{
		Revision: revisionOf(prev) + 1,
		Parts:    make(map[configdoc.PartName]configdoc.Hash, len(parts)),
		Editor:   ch.Editor,
		TimeMs:   c.Now().UnixMilli(),
		Reason:   ch.Reason,
	}
	if prev != nil {
		next.Previous = configdoc.HashOf(prevValue)
	}
	for name, p := range parts {
		next.Parts[name] = p.Hash
	}
	return next
}

// writeParts writes the parts that the previous root does not name. Parts are immutable, so a conflict means that the
// part is there already.
func (c *Configurer) writeParts(
	ctx context.Context, prev *configdoc.Root, parts map[configdoc.PartName]configdoc.Part,
) error {
	for name, p := range parts {
		if prev != nil && prev.Parts[name] == p.Hash {
			continue
		}
		if err := c.writeOnce(ctx, configdoc.PrefixParts+string(p.Hash), p.Value); err != nil {
			return errors.Wrapf(err, "writing part %s", name)
		}
	}
	return nil
}

func (c *Configurer) writeOnce(ctx context.Context, key string, value []byte) error {
	_, err := c.Store.Put(ctx, key, value, 0, "")
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// writeRoot writes the root's copy and replaces the head. After a lost reply it reads the head back.
func (c *Configurer) writeRoot(ctx context.Context, next *configdoc.Root, expect platform.Version) Result {
	value := next.Encode()
	if err := c.writeOnce(ctx, configdoc.PrefixRoots+string(configdoc.HashOf(value)), value); err != nil {
		return Result{Verdict: NotAccepted, Detail: err.Error()}
	}
	_, err := c.Store.Put(ctx, configdoc.KeyHead, value, expect, "")
	switch {
	case err == nil:
		return Result{Verdict: Accepted, Root: next}
	case errors.Is(err, platform.ErrUnavailable):
		return Result{Verdict: NotAccepted, Detail: err.Error()}
	}
	return c.resolve(ctx, next, err)
}

// resolve finds out whether a write of the head took effect.
func (c *Configurer) resolve(ctx context.Context, next *configdoc.Root, cause error) Result {
	_, root, err := c.readHead(ctx)
	if err != nil {
		return Result{Verdict: Unknown, Detail: cause.Error()}
	}
	if root != nil && root.Revision == next.Revision && string(root.Encode()) == string(next.Encode()) {
		return Result{Verdict: Accepted, Root: next}
	}
	if root != nil && root.Revision > next.Revision {
		return Result{Verdict: Unknown, Root: root, Detail: "a later change was accepted meanwhile"}
	}
	return Result{Verdict: NotAccepted, Root: root, Detail: cause.Error()}
}
