package configure

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/validation"
)

const (
	// applyTimeout bounds Apply, and the reads of Rollback before it calls Apply. A caller that disconnects does not cancel
	// them, since the operator would have to find out the outcome of a change that stops between its writes.
	applyTimeout = 30 * time.Second
	// maxAttempts bounds how often a change is tried. It is tried again after a collection, or another change that it can
	// be merged with, replaced the head first.
	maxAttempts = 8
	// maxChainLength bounds how many roots are read back from the head to determine the outcome of a change.
	maxChainLength = 1000
	// maxEditorBytes and maxReasonBytes bound the text that the audit trail stores with a change.
	maxEditorBytes = 128
	maxReasonBytes = 1000
)

// Configurer applies changes to one store.
type Configurer struct {
	Store platform.Store
	Now   func() time.Time
	// Backoff bounds and spaces the retries of store calls; the zero value means the default of package configstore.
	Backoff configstore.Backoff
	// OnAccepted is called with each revision that this configurer made; it may be nil and must not block.
	OnAccepted func(model.Revision)
}

func (c *Configurer) reader() configstore.Reader {
	return configstore.Reader{Store: c.Store, Backoff: c.Backoff}
}

// Apply makes a change the current configuration if no other change was accepted since the expected revision, or if it
// may be merged with those that were. It is idempotent: applying the same content with the same expected revision again
// reports the revision that was accepted.
func (c *Configurer) Apply(ctx context.Context, ch Change) Result {
	problems := append(checkAuthor(ch.Editor, ch.Reason), document.Validate(ch.Inventory, ch.Rules)...)
	if len(problems) > 0 {
		return invalidResult(problems)
	}
	parts := configdoc.Split(ch.Inventory, ch.Rules)
	if problems := checkSizes(parts); len(problems) > 0 {
		return invalidResult(problems)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	op := &applyOp{Configurer: c, change: ch, parts: parts}
	for range maxAttempts {
		if result, done := op.attempt(ctx); done {
			c.notify(result)
			return result
		}
	}
	return unavailableResult(errors.New("other changes kept being accepted first"))
}

func (c *Configurer) notify(result Result) {
	if c.OnAccepted != nil && result.Verdict == Accepted && !result.Repeated {
		c.OnAccepted(result.Root.Revision)
	}
}

// checkAuthor validates the editor and the reason of a change. Text that is not UTF-8 would not be read back as it was
// written, so the change could not be recognised after a lost reply.
func checkAuthor(editor, reason string) validation.Problems {
	var ps validation.Problems
	if editor == "" || len(editor) > maxEditorBytes || !isSingleLine(editor) {
		ps.Add(validation.KindMalformed, "editor", "one line of 1 to 128 bytes", "is %.140q", editor)
	}
	if len(reason) > maxReasonBytes || !isSingleLine(reason) {
		ps.Add(validation.KindMalformed, "reason", "one line of at most 1000 bytes", "is %.140q", reason)
	}
	return ps
}

// checkSizes reports parts that exceed the store's limit for a value: rules with very many callers, or a shard with very
// many servers.
func checkSizes(parts map[configdoc.PartName]configdoc.Part) validation.Problems {
	var ps validation.Problems
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		validation.CheckRange(&ps, "bytes of part "+string(name), len(parts[name].Value), 0, platform.MaxValueBytes)
	}
	return ps
}

func isSingleLine(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

func invalidResult(problems validation.Problems) Result {
	return Result{Verdict: NotAccepted, Cause: CauseInvalid, Problems: problems, Detail: "the change is invalid"}
}

// unavailableResult is the result of a change that wrote nothing, or only values that no head references.
func unavailableResult(err error) Result {
	return Result{Verdict: NotAccepted, Cause: CauseUnavailable, Detail: "this attempt changed nothing: " + err.Error()}
}

// applyOp is the state of one call of Apply.
type applyOp struct {
	*Configurer
	change Change
	parts  map[configdoc.PartName]configdoc.Part
	// minHeadVersion is the lowest version of the head that is not known to be stale.
	minHeadVersion platform.Version
}

// attempt tries the change once on top of the current head. It returns false if the head was replaced meanwhile and the
// change has to be tried again.
func (op *applyOp) attempt(ctx context.Context) (Result, bool) {
	head, err := op.readHead(ctx, op.minHeadVersion, op.change.Expect)
	if err != nil {
		return unavailableResult(err), true
	}
	if head.Revision() < op.change.Expect {
		return Result{
			Verdict: NotAccepted, Cause: CauseRevisionAhead, Current: head.Root,
			Detail: "the store has no such revision yet; this attempt changed nothing",
		}, true
	}
	target := op.partHashes()
	var merged *mergedChange
	if head.Revision() > op.change.Expect {
		result, m := op.rebase(ctx, head)
		if m == nil {
			return result, true
		}
		merged, target = m, m.parts
	}
	result, done := op.write(ctx, head, target)
	if done && result.Verdict == Accepted && merged != nil {
		result.Merged, result.Others = true, merged.others
	}
	return result, done
}

// readHead reads a head of at least the given version, or returns platform.ErrUnavailable. A head below the expected
// revision may be stale and is read again as well, but is returned after the last retry, since the caller's expected
// revision may be wrong.
func (c *Configurer) readHead(
	ctx context.Context, minVersion platform.Version, expect model.Revision,
) (configstore.Head, error) {
	var head configstore.Head
	for range c.Backoff.OrDefault().Attempts(ctx) {
		var err error
		head, err = c.reader().Head(ctx)
		if err != nil {
			return head, err
		}
		if head.Version >= minVersion && head.Revision() >= expect {
			return head, nil
		}
	}
	if head.Version < minVersion || ctx.Err() != nil {
		return head, errors.Wrap(platform.ErrUnavailable, "the store answers with an outdated head")
	}
	return head, nil
}

// partHashes returns the hashes of the change's parts by name, as a root holds them.
func (op *applyOp) partHashes() map[configdoc.PartName]configdoc.Hash {
	hashes := make(map[configdoc.PartName]configdoc.Hash, len(op.parts))
	for name, p := range op.parts {
		hashes[name] = p.Hash
	}
	return hashes
}

// write writes the parts, the record of the root and the head. It returns false if the head was replaced meanwhile and
// certainly not by this change.
func (op *applyOp) write(
	ctx context.Context, head configstore.Head, target map[configdoc.PartName]configdoc.Hash,
) (Result, bool) {
	next := &configdoc.Root{
		Revision: head.Revision() + 1,
		Parts:    target,
		Editor:   op.change.Editor,
		TimeMs:   op.Now().UnixMilli(),
		Reason:   op.change.Reason,
		Previous: head.Hash,
	}
	next.DescribeChanges(head.Root)
	if err := op.writeParts(ctx, head, next); err != nil {
		return unavailableResult(err), true
	}
	return op.replaceHead(ctx, head, next)
}

func (op *applyOp) conflictResult(
	head configstore.Head, others []configdoc.Change, overlapping []configdoc.PartName,
) Result {
	return Result{
		Verdict: NotAccepted, Cause: CauseConflict, Current: head.Root, Others: others, Parts: overlapping,
		Detail: "the configuration has changed since the expected revision",
	}
}
