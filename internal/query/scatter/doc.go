// Package scatter answers idempotent queries by scatter-gather over all shards of a service. It sends one attempt per
// shard, hedges slow attempts and retries failed ones. The answer to a search query has items of one index
// version only, and its coverage lists the missing shards.
package scatter
