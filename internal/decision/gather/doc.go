// Package gather decides when to answer a request that is scattered over several shards, and when to send a hedge to a shard
// that has not replied. It limits the effect of paused, slow and lost servers on the answer's latency.
package gather
