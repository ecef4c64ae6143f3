package configure

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/platform"
)

// writeParts writes the parts that the head does not name, and the record of the root.
func (e *edit) writeParts(ctx context.Context, head configstore.Head, next *configdoc.Root) error {
	named := map[configdoc.Hash]bool{}
	if head.Root != nil {
		for _, hash := range head.Root.Parts {
			named[hash] = true
		}
	}
	for _, name := range next.SortedParts() {
		hash := next.Parts[name]
		if named[hash] {
			continue
		}
		// A part that an edit adds is its own: merging takes only parts that the head names from others.
		err := e.ensure(ctx, configdoc.PrefixParts+string(hash), e.parts[name].Value, func(have platform.Entry) bool {
			return have.ModifiedAt.After(head.ModifiedAt)
		})
		if err != nil {
			return errors.Wrapf(err, "writing part %s", name)
		}
	}
	value, hash := next.Record()
	key := configdoc.PrefixRoots + string(hash)
	err := e.ensure(ctx, key, value, func(platform.Entry) bool { return true })
	return errors.Wrap(err, "writing the root")
}

// ensure makes an immutable value present. A value that is there already counts if enough says so; otherwise it is
// written again, which protects it from a collection that began before the head was read (see Collect).
func (e *edit) ensure(ctx context.Context, key string, value []byte, enough func(platform.Entry) bool) error {
	err := platform.ErrUnavailable
	var expect platform.Version
	for range e.Backoff.OrDefault().Each(ctx) {
		if err = e.put(ctx, key, value, expect); err == nil || errors.Is(err, platform.ErrTooLarge) {
			return err
		}
		have, readErr := e.get(ctx, key)
		switch {
		case errors.Is(readErr, platform.ErrNotFound):
			expect = 0
		case readErr != nil:
			err = readErr
		case !bytes.Equal(have.Value, value):
			return errors.Wrapf(configdoc.ErrCorrupt, "%s holds another value", key)
		case enough(have):
			return nil
		default:
			expect = have.Version
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

// replaceHead puts the root in force. A write without an answer may still take effect later, so reading an unchanged
// head proves nothing; the same write is sent again until the head is seen to have moved. Once it has moved, no write
// that expects its old version can take effect any more, and the chain from the new head tells who moved it.
func (e *edit) replaceHead(ctx context.Context, head configstore.Head, next *configdoc.Root) (Result, bool) {
	value := next.Encode()
	mayLand := false
	err := platform.ErrUnavailable
	for range e.Backoff.OrDefault().Each(ctx) {
		err = e.put(ctx, configdoc.KeyHead, value, head.Version)
		if err == nil {
			return Result{Verdict: Accepted, Root: next, Current: next}, true
		}
		if errors.Is(err, platform.ErrTooLarge) {
			return unavailable(err), true
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			mayLand = true
		}
		now, readErr := e.reader().Head(ctx)
		if readErr == nil && now.Version > head.Version {
			e.atLeast = now.Version
			return e.settle(ctx, now, next)
		}
	}
	if mayLand {
		return unknown(err), true
	}
	return unavailable(err), true
}

func unknown(err error) Result {
	return Result{Verdict: Unknown, Cause: CauseUnavailable, Detail: "the store's answer was lost: " + err.Error()}
}

// settle finds out from a head that moved whether next moved it.
func (e *edit) settle(ctx context.Context, now configstore.Head, next *configdoc.Root) (Result, bool) {
	if now.Revision() < next.Revision {
		// A collection rewrote the old root.
		return Result{}, false
	}
	chain, err := e.reader().Chain(ctx, now.Root, next.Revision, maxChain)
	if err != nil {
		return unknown(err), true
	}
	accepted := chain[len(chain)-1]
	if bytes.Equal(accepted.Encode(), next.Encode()) {
		return Result{Verdict: Accepted, Root: next, Current: now.Root}, true
	}
	return Result{}, false
}
