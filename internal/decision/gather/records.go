package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in the replies of an index's shards. A shorter remainder of a reply is not a record.
const RecordBytes = 16

// MergeRecords returns the limit greatest records of the bodies of several replies in descending byte order. Duplicates are
// kept. Merging already merged bodies gives the same result as merging all bodies at once.
func MergeRecords(bodies [][]byte, limit int) []byte {
	records := 0
	for _, body := range bodies {
		records += len(body) / RecordBytes
	}
	limit = min(max(0, limit), records)
	// greatest holds the greatest records so far, in descending order.
	greatest := make([][]byte, 0, limit+1)
	for _, body := range bodies {
		for rest := body; len(rest) >= RecordBytes; rest = rest[RecordBytes:] {
			greatest = insertRecord(greatest, rest[:RecordBytes], limit)
		}
	}
	return bytes.Join(greatest, nil)
}

// insertRecord inserts record into greatest, which is in descending order, and keeps at most limit records.
func insertRecord(greatest [][]byte, record []byte, limit int) [][]byte {
	if limit <= 0 || (len(greatest) == limit && bytes.Compare(record, greatest[limit-1]) <= 0) {
		return greatest
	}
	at, _ := slices.BinarySearchFunc(greatest, record, func(kept, r []byte) int { return bytes.Compare(r, kept) })
	greatest = slices.Insert(greatest, at, record)
	return greatest[:min(limit, len(greatest))]
}
