// Package snapshot decides which index version an answer takes when the shards' replies differ, and which shards are
// worth asking again for that version.
package snapshot
