package configure

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/platform"
)

// writeParts writes the parts that the head does not reference, and the record of the root.
func (op *applyOp) writeParts(ctx context.Context, head configstore.Head, next *configdoc.Root) error {
	inHead := map[configdoc.Hash]bool{}
	if head.Root != nil {
		for _, hash := range head.Root.Parts {
			inHead[hash] = true
		}
	}
	for _, name := range next.SortedParts() {
		hash := next.Parts[name]
		if inHead[hash] {
			continue
		}
		// The part belongs to this change: a merge takes the parts of other changes from the head.
		err := op.ensure(ctx, configdoc.PrefixParts+string(hash), op.parts[name].Value, func(existing platform.Entry) bool {
			return existing.ModifiedAt.After(head.ModifiedAt)
		})
		if err != nil {
			return errors.Wrapf(err, "writing part %s", name)
		}
	}
	value, hash := next.Record()
	key := configdoc.PrefixRoots + string(hash)
	err := op.ensure(ctx, key, value, func(platform.Entry) bool { return true })
	return errors.Wrap(err, "writing the root")
}

// ensure makes an immutable value present. A value that is already present is left as it is if accept returns true;
// otherwise it is written again, which protects it from a collection that began before the head was read (see Collect).
func (op *applyOp) ensure(ctx context.Context, key string, value []byte, accept func(platform.Entry) bool) error {
	err := platform.ErrUnavailable
	var expect platform.Version
	for range op.Backoff.OrDefault().Attempts(ctx) {
		if err = op.put(ctx, key, value, expect); err == nil || errors.Is(err, platform.ErrTooLarge) {
			return err
		}
		existing, readErr := op.get(ctx, key)
		switch {
		case errors.Is(readErr, platform.ErrNotFound):
			expect = 0
		case readErr != nil:
			err = readErr
		case !bytes.Equal(existing.Value, value):
			return errors.Wrapf(configdoc.ErrCorrupt, "%s holds another value", key)
		case accept(existing):
			return nil
		default:
			expect = existing.Version
		}
	}
	return err
}

func (c *Configurer) put(ctx context.Context, key string, value []byte, expect platform.Version) error {
	ctx, cancel := context.WithTimeout(ctx, configstore.CallTimeout)
	defer cancel()
	_, err := c.Store.Put(ctx, key, value, expect, "")
	return err
}

func (c *Configurer) get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, configstore.CallTimeout)
	defer cancel()
	return c.Store.Get(ctx, key)
}

// replaceHead makes next the head. A write without a reply may still take effect later, so reading an unchanged head
// proves nothing; the same write is repeated until the head's version is seen to have risen. From then on no write that
// expects the old version can take effect, and the chain from the new head shows whether next was accepted.
func (op *applyOp) replaceHead(ctx context.Context, head configstore.Head, next *configdoc.Root) (Result, bool) {
	value := next.Encode()
	mayTakeEffect := false
	err := platform.ErrUnavailable
	for range op.Backoff.OrDefault().Attempts(ctx) {
		err = op.put(ctx, configdoc.KeyHead, value, head.Version)
		if err == nil {
			return Result{Verdict: Accepted, Root: next, Current: next}, true
		}
		if errors.Is(err, platform.ErrTooLarge) {
			return unavailableResult(err), true
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			mayTakeEffect = true
		}
		current, readErr := op.reader().Head(ctx)
		if readErr == nil && current.Version > head.Version {
			op.minHeadVersion = current.Version
			return op.resolve(ctx, current, next)
		}
	}
	if mayTakeEffect {
		return unknownResult(err), true
	}
	return unavailableResult(err), true
}

func unknownResult(err error) Result {
	return Result{Verdict: Unknown, Cause: CauseUnavailable, Detail: "the store's answer was lost: " + err.Error()}
}

// resolve determines from a head whose version has risen whether next was accepted.
func (op *applyOp) resolve(ctx context.Context, current configstore.Head, next *configdoc.Root) (Result, bool) {
	if current.Revision() < next.Revision {
		// A collection rewrote the head with the old root.
		return Result{}, false
	}
	chain, err := op.reader().Chain(ctx, current.Root, next.Revision, maxChainLength)
	if err != nil {
		return unknownResult(err), true
	}
	accepted := chain[len(chain)-1]
	if bytes.Equal(accepted.Encode(), next.Encode()) {
		return Result{Verdict: Accepted, Root: next, Current: current.Root}, true
	}
	return Result{}, false
}
