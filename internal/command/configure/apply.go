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
	// applyTimeout bounds a whole change. A caller that goes away does not cut it short, since a change that stops
	// between its writes would be left for the operator to settle.
	applyTimeout = 30 * time.Second
	// maxRounds bounds how often a change starts again after losing to a collection or to a change it can merge with.
	maxRounds = 8
	// maxChain bounds how far back the chain of roots is read to settle a change.
	maxChain = 1000
	// maxEditorBytes and maxReasonBytes bound what the audit trail keeps of a change.
	maxEditorBytes = 128
	maxReasonBytes = 1000
)

// Configurer applies changes to one store.
type Configurer struct {
	Store platform.Store
	Now   func() time.Time
	// Backoff of repeated calls of the store; the zero value means configstore.DefaultPace.
	Backoff configstore.Pace
	// OnAccepted is called with each revision that this configurer made; it may be nil and must not wait.
	OnAccepted func(model.Revision)
}

func (c *Configurer) reader() configstore.Reader {
	return configstore.Reader{Store: c.Store, Pace: c.Backoff}
}

// Apply puts a change in force if nothing else was accepted since the expected revision, or if it may be merged.
// Applying the same content with the same expected revision again reports the revision that was accepted.
func (c *Configurer) Apply(ctx context.Context, ch Change) Result {
	problems := append(checkAuthor(ch.Editor, ch.Reason), document.Validate(ch.Inventory, ch.Rules)...)
	if len(problems) > 0 {
		return invalid(problems)
	}
	parts := configdoc.Split(ch.Inventory, ch.Rules)
	if problems := checkSizes(parts); len(problems) > 0 {
		return invalid(problems)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	e := &edit{Configurer: c, change: ch, parts: parts}
	for range maxRounds {
		if result, settled := e.round(ctx); settled {
			c.notify(result)
			return result
		}
	}
	return unavailable(errors.New("other changes kept being accepted first"))
}

func (c *Configurer) notify(result Result) {
	if c.OnAccepted != nil && result.Verdict == Accepted && !result.Repeated {
		c.OnAccepted(result.Root.Revision)
	}
}

// checkAuthor checks what the audit trail keeps of a change. Text that is not UTF-8 would not be read back as it was
// written, so a change could not be recognised after a lost reply.
func checkAuthor(editor, reason string) validation.Problems {
	var ps validation.Problems
	if editor == "" || len(editor) > maxEditorBytes || !isLine(editor) {
		ps.Add(validation.KindMalformed, "editor", "one line of 1 to 128 bytes", "is %.140q", editor)
	}
	if len(reason) > maxReasonBytes || !isLine(reason) {
		ps.Add(validation.KindMalformed, "reason", "one line of at most 1000 bytes", "is %.140q", reason)
	}
	return ps
}

// checkSizes reports parts that the store cannot hold: rules with very many callers, or a shard with very many servers.
func checkSizes(parts map[configdoc.PartName]configdoc.Part) validation.Problems {
	var ps validation.Problems
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		validation.InRange(&ps, "bytes of part "+string(name), len(parts[name].Value), 0, platform.MaxValueBytes)
	}
	return ps
}

func isLine(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

func invalid(problems validation.Problems) Result {
	return Result{Verdict: NotAccepted, Cause: CauseInvalid, Problems: problems, Detail: "the change is invalid"}
}

// unavailable is the result of a change that wrote at most values that nothing names.
func unavailable(err error) Result {
	return Result{Verdict: NotAccepted, Cause: CauseUnavailable, Detail: "this attempt changed nothing: " + err.Error()}
}

// edit is one change on its way into the store.
type edit struct {
	*Configurer
	change Change
	parts  map[configdoc.PartName]configdoc.Part
	// atLeast is the lowest version of the head that is not known to be stale.
	atLeast platform.Version
}

// round tries the change once on top of the current head. It returns false if the head moved and the change has to be
// looked at again.
func (e *edit) round(ctx context.Context) (Result, bool) {
	head, err := e.headFrom(ctx, e.atLeast, e.change.Expect)
	if err != nil {
		return unavailable(err), true
	}
	if head.Revision() < e.change.Expect {
		return Result{
			Verdict: NotAccepted, Cause: CauseRevisionAhead, Current: head.Root,
			Detail: "the store has no such revision yet; this attempt changed nothing",
		}, true
	}
	target := e.wanted()
	var merged *mergedEdit
	if head.Revision() > e.change.Expect {
		result, m := e.rebase(ctx, head)
		if m == nil {
			return result, true
		}
		merged, target = m, m.parts
	}
	result, settled := e.write(ctx, head, target)
	if settled && result.Verdict == Accepted && merged != nil {
		result.Merged, result.Others = true, merged.others
	}
	return result, settled
}

// headFrom reads a head of at least the given version, or returns platform.ErrUnavailable. A head below the expected
// revision is read again too, since it may be stale, but returned in the end: the expectation may be wrong.
func (c *Configurer) headFrom(ctx context.Context, version platform.Version, expect model.Revision) (configstore.Head, error) {
	var head configstore.Head
	for range c.Backoff.OrDefault().Each(ctx) {
		var err error
		head, err = c.reader().Head(ctx)
		if err != nil {
			return head, err
		}
		if head.Version >= version && head.Revision() >= expect {
			return head, nil
		}
	}
	if head.Version < version || ctx.Err() != nil {
		return head, errors.Wrap(platform.ErrUnavailable, "the store answers with an outdated head")
	}
	return head, nil
}

// wanted returns the parts of the change as a root names them.
func (e *edit) wanted() map[configdoc.PartName]configdoc.Hash {
	names := make(map[configdoc.PartName]configdoc.Hash, len(e.parts))
	for name, p := range e.parts {
		names[name] = p.Hash
	}
	return names
}

// write writes the parts, the root's record and the head. It returns false if the head moved meanwhile and the change is
// certainly not part of what moved it.
func (e *edit) write(
	ctx context.Context, head configstore.Head, target map[configdoc.PartName]configdoc.Hash,
) (Result, bool) {
	next := &configdoc.Root{
		Revision: head.Revision() + 1,
		Parts:    target,
		Editor:   e.change.Editor,
		TimeMs:   e.Now().UnixMilli(),
		Reason:   e.change.Reason,
		Previous: head.Hash,
	}
	next.Seal(head.Root)
	if err := e.writeParts(ctx, head, next); err != nil {
		return unavailable(err), true
	}
	return e.replaceHead(ctx, head, next)
}

func (e *edit) conflict(head configstore.Head, others []configdoc.Change, shared []configdoc.PartName) Result {
	return Result{
		Verdict: NotAccepted, Cause: CauseConflict, Current: head.Root, Others: others, Parts: shared,
		Detail: "the configuration has changed since the expected revision",
	}
}
