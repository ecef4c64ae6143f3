package configure

import (
	"context"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
)

// Rollback applies the content of an earlier revision as a new revision, under the same rules as Apply.
func (c *Configurer) Rollback(ctx context.Context, r Rollback) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	head, err := c.readHead(ctx, 0, r.Expect)
	if err != nil {
		return unavailableResult(err)
	}
	if r.To == 0 {
		return noSuchRevisionResult(head, errors.New("revision 0 is the absence of a configuration"))
	}
	chain, err := c.reader().Chain(ctx, head.Root, r.To, maxChainLength)
	if errors.Is(err, configstore.ErrNoRevision) {
		return noSuchRevisionResult(head, err)
	}
	if err != nil {
		return unavailableResult(err)
	}
	inv, rules, err := c.reader().Load(ctx, chain[len(chain)-1])
	if errors.Is(err, configstore.ErrCollected) || errors.Is(err, configdoc.ErrCorrupt) {
		return noSuchRevisionResult(head, err)
	}
	if err != nil {
		return unavailableResult(err)
	}
	return c.Apply(ctx, Change{Inventory: inv, Rules: rules, Expect: r.Expect, Editor: r.Editor, Reason: r.Reason})
}

func noSuchRevisionResult(head configstore.Head, err error) Result {
	return Result{Verdict: NotAccepted, Cause: CauseNoRevision, Current: head.Root, Detail: err.Error()}
}
