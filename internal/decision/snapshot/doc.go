// Package snapshot decides which index version an answer uses if the shards reply with different versions, and which
// shards to query again for that version.
package snapshot
