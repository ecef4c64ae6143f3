package configure

import (
	"context"
	"maps"
	"slices"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/document"
)

// mergedEdit is a change combined with those accepted since its expected revision.
type mergedEdit struct {
	parts  map[configdoc.PartName]configdoc.Hash
	others []configdoc.Change
}

// rebase looks at a change whose expected revision is no longer the current one: it was accepted by an earlier call,
// or it can be merged, or it conflicts. Only a merge returns a mergedEdit; otherwise the result is final.
func (e *edit) rebase(ctx context.Context, head configstore.Head) (Result, *mergedEdit) {
	chain, err := e.reader().Chain(ctx, head.Root, e.change.Expect, maxChain)
	if err != nil {
		// Without the chain an earlier call with the same change cannot be ruled out.
		return unknown(err), nil
	}
	var base *configdoc.Root
	if e.change.Expect > 0 {
		base = chain[len(chain)-1]
		chain = chain[:len(chain)-1]
	}
	mine := &configdoc.Root{Parts: e.wanted()}
	if root := findRepeated(chain, base, mine, e.change.Merge); root != nil {
		return Result{Verdict: Accepted, Root: root, Repeated: true, Current: head.Root}, nil
	}
	others := describe(chain, base)
	shared := sharedParts(base, mine, head.Root)
	if !e.change.Merge {
		return e.conflict(head, others, shared), nil
	}
	parts, conflicts := configdoc.Merge(base, mine, head.Root)
	if len(conflicts) > 0 {
		result := e.conflict(head, others, conflicts)
		result.Detail = "other changes since the expected revision edit the same parts"
		return result, nil
	}
	return e.checkMerged(ctx, head, &mergedEdit{parts: parts, others: others})
}

// checkMerged validates the combination: two changes that are valid alone may not be so together.
func (e *edit) checkMerged(ctx context.Context, head configstore.Head, m *mergedEdit) (Result, *mergedEdit) {
	theirs := &configdoc.Root{Revision: head.Revision(), Parts: map[configdoc.PartName]configdoc.Hash{}}
	values := map[configdoc.Hash][]byte{}
	for name, hash := range m.parts {
		if p, ok := e.parts[name]; ok && p.Hash == hash {
			values[hash] = p.Value
			continue
		}
		theirs.Parts[name] = hash
	}
	if err := e.reader().LoadValues(ctx, theirs, values); err != nil {
		return unavailable(err), nil
	}
	root := &configdoc.Root{Parts: m.parts}
	inv, rules, err := configdoc.Join(root, func(h configdoc.Hash) []byte { return values[h] })
	problems := document.Validate(inv, rules)
	if err == nil && len(problems) == 0 {
		return Result{}, m
	}
	result := e.conflict(head, m.others, nil)
	result.Problems = problems
	result.Detail = "the merge with the other changes would be invalid"
	return result, nil
}

// findRepeated returns the oldest root in the chain, which is newest first and without base, that made the change already.
// Later ones may be rollbacks to it.
func findRepeated(chain []*configdoc.Root, base, mine *configdoc.Root, merge bool) *configdoc.Root {
	if len(chain) == 0 {
		return nil
	}
	if oldest := chain[len(chain)-1]; maps.Equal(oldest.Parts, mine.Parts) {
		return oldest
	}
	wanted := configdoc.ChangedParts(base, mine)
	if !merge || len(wanted) == 0 {
		return nil
	}
	prev := base
	for _, root := range slices.Backward(chain) {
		if sameChange(prev, root, mine, wanted) {
			return root
		}
		prev = root
	}
	return nil
}

// sameChange tells whether a root changed exactly the wanted parts, to the wanted values.
func sameChange(prev, root, mine *configdoc.Root, wanted []configdoc.PartName) bool {
	if !slices.Equal(configdoc.ChangedParts(prev, root), wanted) {
		return false
	}
	return !slices.ContainsFunc(wanted, func(name configdoc.PartName) bool { return root.Parts[name] != mine.Parts[name] })
}

func describe(chain []*configdoc.Root, base *configdoc.Root) []configdoc.Change {
	changes := make([]configdoc.Change, 0, len(chain))
	for i, root := range chain {
		prev := base
		if i+1 < len(chain) {
			prev = chain[i+1]
		}
		changes = append(changes, configdoc.ChangeOf(prev, root))
	}
	return changes
}

// sharedParts returns the parts that both sides changed since base.
func sharedParts(base, mine, theirs *configdoc.Root) []configdoc.PartName {
	ofOthers := configdoc.ChangedParts(base, theirs)
	return slices.DeleteFunc(configdoc.ChangedParts(base, mine), func(name configdoc.PartName) bool {
		return !slices.Contains(ofOthers, name)
	})
}
