package configdoc

import (
	"maps"

	"github.com/cockroachdb/errors"
)

// DescribeChanges sets Before and PartsHash from the root's parts. prev is the previous root, or nil for the first revision.
func (r *Root) DescribeChanges(prev *Root) {
	r.Before = map[PartName]Hash{}
	for _, name := range ChangedParts(prev, r) {
		r.Before[name] = partsOf(prev)[name]
	}
	r.PartsHash = HashOf(encode(r.Parts))
}

// Record returns the encoded record of a root, which the audit trail keeps, and the hash of the record. A record is the root
// without its parts, which PartsHash identifies. The record of a root without a PartsHash is the root itself.
func (r *Root) Record() ([]byte, Hash) {
	record := *r
	if r.PartsHash != "" {
		record.Parts = nil
	}
	value := record.Encode()
	return value, HashOf(value)
}

// RestoreParts sets the parts of a record to those of the next root with the next root's changes undone. It returns ErrCorrupt
// if the result does not match PartsHash. It does nothing if the parts are already set, or if the next root has none.
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
