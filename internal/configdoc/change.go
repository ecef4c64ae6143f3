package configdoc

import (
	"maps"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
)

// Change is one entry of the audit trail: an accepted revision with the parts that it changed.
type Change struct {
	Revision model.Revision `json:"revision"`
	Editor   string         `json:"editor"`
	// TimeMs is when the revision was made, in Unix milliseconds.
	TimeMs int64  `json:"time_ms"`
	Reason string `json:"reason"`
	// Parts are the names of the parts that differ from the previous revision, in order.
	Parts []PartName `json:"parts"`
	// Root is the hash of the record of the revision's root.
	Root Hash `json:"root"`
}

// ChangeOf describes a root as a change of its predecessor, which is nil for the first revision.
func ChangeOf(prev, root *Root) Change {
	parts := slices.AppendSeq([]PartName{}, maps.Keys(root.Before))
	slices.Sort(parts)
	if root.PartsHash == "" {
		parts = ChangedParts(prev, root)
	}
	_, hash := root.Record()
	return Change{
		Revision: root.Revision,
		Editor:   root.Editor,
		TimeMs:   root.TimeMs,
		Reason:   root.Reason,
		Parts:    parts,
		Root:     hash,
	}
}

// ChangedParts returns the names of the parts that differ between two roots, in order; nil roots have no parts.
func ChangedParts(a, b *Root) []PartName {
	changed := []PartName{}
	for name, hash := range partsOf(a) {
		if partsOf(b)[name] != hash {
			changed = append(changed, name)
		}
	}
	for name := range partsOf(b) {
		if _, ok := partsOf(a)[name]; !ok {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func partsOf(r *Root) map[PartName]Hash {
	if r == nil {
		return nil
	}
	return r.Parts
}

// Merge returns the parts of theirs with the changes that lead from base to mine, and the parts that both sides changed
// to different values. The result is usable only if there are none of those.
func Merge(base, mine, theirs *Root) (parts map[PartName]Hash, conflicts []PartName) {
	parts = make(map[PartName]Hash, len(theirs.Parts))
	for name, hash := range theirs.Parts {
		parts[name] = hash
	}
	for _, name := range ChangedParts(base, mine) {
		before, wanted, now := partsOf(base)[name], mine.Parts[name], theirs.Parts[name]
		if now != before && now != wanted {
			conflicts = append(conflicts, name)
			continue
		}
		if wanted == "" {
			delete(parts, name)
			continue
		}
		parts[name] = wanted
	}
	return parts, conflicts
}
