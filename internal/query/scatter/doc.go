// Package scatter answers an idempotent query from all shards of a service: one attempt a shard, hedges for slow ones,
// retries for failed ones, one index version for the whole answer, and coverage that says what is missing.
package scatter
