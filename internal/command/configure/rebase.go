package configure

import (
	"context"
	"maps"
	"slices"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/document"
)

// mergedChange is a change combined with those accepted since its expected revision.
type mergedChange struct {
	parts  map[configdoc.PartName]configdoc.Hash
	others []configdoc.Change
}

// rebase handles a change whose expected revision is no longer the current one: an earlier call may have been accepted,
// the change may be mergeable, or it conflicts. Only a merge returns a mergedChange; otherwise the result is final.
func (op *applyOp) rebase(ctx context.Context, head configstore.Head) (Result, *mergedChange) {
	chain, err := op.reader().Chain(ctx, head.Root, op.change.Expect, maxChainLength)
	if err != nil {
		// Without the chain it is unknown whether an earlier call with the same change was accepted.
		return unknownResult(err), nil
	}
	var base *configdoc.Root
	if op.change.Expect > 0 {
		base = chain[len(chain)-1]
		chain = chain[:len(chain)-1]
	}
	mine := &configdoc.Root{Parts: op.partHashes()}
	if root := findRepeated(chain, base, mine, op.change.Merge); root != nil {
		return Result{Verdict: Accepted, Root: root, Repeated: true, Current: head.Root}, nil
	}
	others := changesOf(chain, base)
	overlapping := overlappingParts(base, mine, head.Root)
	if !op.change.Merge {
		return op.conflictResult(head, others, overlapping), nil
	}
	parts, conflicts := configdoc.Merge(base, mine, head.Root)
	if len(conflicts) > 0 {
		result := op.conflictResult(head, others, conflicts)
		result.Detail = "other changes since the expected revision edit the same parts"
		return result, nil
	}
	return op.checkMerged(ctx, head, &mergedChange{parts: parts, others: others})
}

// checkMerged validates the merged configuration: two changes that are valid alone may be invalid together.
func (op *applyOp) checkMerged(ctx context.Context, head configstore.Head, m *mergedChange) (Result, *mergedChange) {
	toLoad := &configdoc.Root{Revision: head.Revision(), Parts: map[configdoc.PartName]configdoc.Hash{}}
	values := map[configdoc.Hash][]byte{}
	for name, hash := range m.parts {
		if p, ok := op.parts[name]; ok && p.Hash == hash {
			values[hash] = p.Value
			continue
		}
		toLoad.Parts[name] = hash
	}
	if err := op.reader().LoadValues(ctx, toLoad, values); err != nil {
		return unavailableResult(err), nil
	}
	root := &configdoc.Root{Parts: m.parts}
	inv, rules, err := configdoc.Join(root, func(h configdoc.Hash) []byte { return values[h] })
	problems := document.Validate(inv, rules)
	if err == nil && len(problems) == 0 {
		return Result{}, m
	}
	result := op.conflictResult(head, m.others, nil)
	result.Problems = problems
	result.Detail = "the merge with the other changes would be invalid"
	return result, nil
}

// findRepeated returns the oldest root in the chain that made the change already, or nil; later ones may be rollbacks to
// it. The chain is newest first and does not contain base.
func findRepeated(chain []*configdoc.Root, base, mine *configdoc.Root, merge bool) *configdoc.Root {
	if len(chain) == 0 {
		return nil
	}
	if oldest := chain[len(chain)-1]; maps.Equal(oldest.Parts, mine.Parts) {
		return oldest
	}
	changed := configdoc.ChangedParts(base, mine)
	if !merge || len(changed) == 0 {
		return nil
	}
	prev := base
	for _, root := range slices.Backward(chain) {
		if sameChange(prev, root, mine, changed) {
			return root
		}
		prev = root
	}
	return nil
}

// sameChange reports whether root changed exactly the given parts since prev, to the values that they have in mine.
func sameChange(prev, root, mine *configdoc.Root, changed []configdoc.PartName) bool {
	if !slices.Equal(configdoc.ChangedParts(prev, root), changed) {
		return false
	}
	return !slices.ContainsFunc(changed, func(name configdoc.PartName) bool { return root.Parts[name] != mine.Parts[name] })
}

// changesOf describes each root of the chain as a change of its predecessor, newest first.
func changesOf(chain []*configdoc.Root, base *configdoc.Root) []configdoc.Change {
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

// overlappingParts returns the parts that both sides changed since base.
func overlappingParts(base, mine, theirs *configdoc.Root) []configdoc.PartName {
	theirChanges := configdoc.ChangedParts(base, theirs)
	return slices.DeleteFunc(configdoc.ChangedParts(base, mine), func(name configdoc.PartName) bool {
		return !slices.Contains(theirChanges, name)
	})
}
