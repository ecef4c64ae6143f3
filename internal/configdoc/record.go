package configdoc

import (
	"maps"

	"github.com/cockroachdb/errors"
)

// DescribeChanges sets what the record of a root says of its parts, given the root before it, which is nil for the first revision.
func (r *Root) DescribeChanges(prev *Root) {
	r.Before = map[PartName]Hash{}
	for _, name := range ChangedParts(prev, r) {
		r.Before[name] = partsOf(prev)[name]
	}
	r.PartsHash = HashOf(encode(r.Parts))
}

// Record returns the entry of the audit trail for a root, and its hash: the root without its parts, whose hash it holds.
// The record of a root that was not sealed is the root itself.
func (r *Root) Record() ([]byte, Hash) {
	record := *r
	if r.PartsHash != "" {
		record.Parts = nil
	}
	value := record.Encode()
	return value, HashOf(value)
}

// RestoreParts sets the parts of a record from those of the next root, whose changes it undoes. It returns ErrCorrupt if the
// result is not what the record was made of. It does nothing if the root has its parts or the next one has none.
func (r *Root) RestoreParts(next *Root) error {
	if r.Parts != nil || next.Parts == nil {
		return nil
	}
	parts := maps.Clone(next.Parts)
	for name, hash := range next.Before {
		if hash == "" {
			delete(parts, name)
			continue
		}
		parts[name] = hash
	}
	if HashOf(encode(parts)) != r.PartsHash {
		return errors.Wrapf(ErrCorrupt, "revision %d does not follow revision %d by the parts that it names",
			next.Revision, r.Revision)
	}
	r.Parts = parts
	return nil
}
