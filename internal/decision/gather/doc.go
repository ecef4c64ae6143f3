// Package gather decides when an answer that is gathered from several shards is given, and when a shard that has not
// answered is asked a second time. It answers load on the shards' servers that is uneven: pauses, slow and lost servers.
package gather
