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
	// Parts are the names of the parts that differ from the previous revision, sorted.
	Parts []PartName `json:"parts"`
	// Root is the hash of the record of the revision's root.
	Root Hash `json:"root"`
}

// ChangeOf returns the audit trail's entry for a root. prev is the previous root, or nil for the first revision; it is used
// only if the root has no PartsHash.
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

// ChangedParts returns the names of the parts that differ between two roots, sorted; a nil root has no parts.
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

// Merge is a three-way merge: it returns the parts of theirs with the changes from base to mine applied. conflicts are the parts
// that both sides changed to different values; the merged parts are usable only if there are none.
func Merge(base, mine, theirs *Root) (parts map[PartName]Hash, conflicts []PartName) {
	parts = make(map[PartName]Hash, len(theirs.Parts))
	for name, hash := range theirs.Parts {
		parts[name] = hash
	}
	for _, name := range ChangedParts(base, mine) {
		baseHash, mineHash, theirsHash := partsOf(base)[name], mine.Parts[name], theirs.Parts[name]
		if theirsHash != baseHash && theirsHash != mineHash {
			conflicts = append(conflicts, name)
			continue
		}
		if mineHash == "" {
			delete(parts, name)
			continue
		}
		parts[name] = mineHash
	}
	return parts, conflicts
}
