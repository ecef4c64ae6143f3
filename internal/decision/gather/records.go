package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in the replies of an index's shards. A shorter rest of a reply is no record.
const RecordBytes = 16

// MergeRecords returns the greatest limit records of the bodies of several replies, greatest first, compared byte by byte.
// Equal records all count. Merging merged bodies gives the same as merging all bodies at once.
func MergeRecords(bodies [][]byte, limit int) []byte {
	// greatest holds the records kept so far, greatest first.
	greatest := make([][]byte, 0, limit+1)
	for _, body := range bodies {
		for rest := body; len(rest) >= RecordBytes; rest = rest[RecordBytes:] {
			greatest = keepRecord(greatest, rest[:RecordBytes], limit)
		}
	}
	return bytes.Join(greatest, nil)
}

func keepRecord(greatest [][]byte, record []byte, limit int) [][]byte {
	if limit <= 0 || (len(greatest) == limit && bytes.Compare(record, greatest[limit-1]) <= 0) {
		return greatest
	}
	at, _ := slices.BinarySearchFunc(greatest, record, func(kept, r []byte) int { return bytes.Compare(r, kept) })
	greatest = slices.Insert(greatest, at, record)
	return greatest[:min(limit, len(greatest))]
}
