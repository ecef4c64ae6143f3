package model

import "time"

// KeySpace is the size of the key space that is divided among the shards of a service; keys hash to [0, KeySpace).
const KeySpace = 65536

// Inventory lists the zones, services, shards and backend servers, as operators write them.
type Inventory struct {
	// MaxInstances is the maximum number of daemons that the platform runs at a time, in all zones together.
	MaxInstances int `yaml:"max_instances" json:"max_instances"`
	// SurgeInstances is how many more may run while instances are being replaced.
	SurgeInstances int           `yaml:"surge_instances" json:"surge_instances"`
	Zones          []ZoneSpec    `yaml:"zones" json:"zones"`
	Services       []ServiceSpec `yaml:"services" json:"services"`
}

// ZoneSpec states the region of an availability zone.
type ZoneSpec struct {
	Name   AvailabilityZone `yaml:"name" json:"name"`
	Region Region           `yaml:"region" json:"region"`
}

// ServiceSpec is one service; a service that is not sharded has one shard that covers the whole key space.
type ServiceSpec struct {
	Name          ServiceName   `yaml:"name" json:"name"`
	ShardMapEpoch ShardMapEpoch `yaml:"shard_map_epoch" json:"shard_map_epoch"`
	Shards        []ShardSpec   `yaml:"shards" json:"shards"`
}

// SharesShards reports whether s and o have the same name and epoch and hold the same slice of shards in memory. Specs are
// never changed in place, so such services are equal, and their shards need no comparison. It returns false for equal
// services whose shards are separate copies.
func (s *ServiceSpec) SharesShards(o *ServiceSpec) bool {
	if s.Name != o.Name || s.ShardMapEpoch != o.ShardMapEpoch || len(s.Shards) != len(o.Shards) {
		return false
	}
	return len(s.Shards) > 0 && &s.Shards[0] == &o.Shards[0]
}

// ShardSpec is one shard, holding the keys in [KeyFrom, KeyTo) of [0, KeySpace).
type ShardSpec struct {
	Name    ShardName    `yaml:"name" json:"name"`
	KeyFrom int          `yaml:"key_from" json:"key_from"`
	KeyTo   int          `yaml:"key_to" json:"key_to"`
	Servers []ServerSpec `yaml:"servers" json:"servers"`
}

// ServerSpec is one backend server.
type ServerSpec struct {
	Name ServerName `yaml:"name" json:"name"`
	// Address is host:port, with an IP address as the host.
	Address string           `yaml:"address" json:"address"`
	Zone    AvailabilityZone `yaml:"zone" json:"zone"`
	// Slots is the number of requests that the server runs at a time.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the number of connections that the server accepts from all daemons together.
	Connections int `yaml:"connections" json:"connections"`
	// ConnectionCostMs is the time that a new connection takes, in milliseconds.
	ConnectionCostMs float64 `yaml:"connection_cost_ms" json:"connection_cost_ms"`
	// Leaving servers get no new work.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// Started distinguishes successive runs of a server that registers itself; it is 0 for servers that operators list.
	Started int64 `yaml:"-" json:"-"`
	// ColdRate is the number of requests per second that the server tolerates while it is cold; 0 means no limit. ColdUntil is when
	// it is warm according to its entry; it is set only with a ColdRate.
	ColdRate  float64   `yaml:"-" json:"-"`
	ColdUntil time.Time `yaml:"-" json:"-"`
}

// Rules define the ranks and limits of requests, as operators write them.
type Rules struct {
	Ranks     []RankRule   `yaml:"ranks" json:"ranks"`
	Callers   []CallerRule `yaml:"callers" json:"callers"`
	Hedge     HedgeRule    `yaml:"hedge" json:"hedge"`
	Retry     RetryRule    `yaml:"retry" json:"retry"`
	Deadlines DeadlineRule `yaml:"deadlines" json:"deadlines"`
}

// RankRule sets the latency target, the minimum share and the queueing limit of one rank.
type RankRule struct {
	Rank string `yaml:"rank" json:"rank"`
	// MinShare is the fraction of capacity that the rank keeps when other ranks overload the servers. The sum over all ranks
	// is at most 1.
	MinShare float64 `yaml:"min_share" json:"min_share"`
	// TargetMs is the rank's p99 latency target, in milliseconds.
	TargetMs int `yaml:"target_ms" json:"target_ms"`
	// MaxQueueMs bounds the time that a request waits for admission, in milliseconds.
	MaxQueueMs int `yaml:"max_queue_ms" json:"max_queue_ms"`
}

// CallerRule assigns a rank to a caller; the caller "*" stands for every caller without a rule of its own.
type CallerRule struct {
	Caller CallerName `yaml:"caller" json:"caller"`
	Rank   string     `yaml:"rank" json:"rank"`
}

// AnyCaller is the caller name in a CallerRule that matches callers without a rule of their own.
const AnyCaller CallerName = "*"

// HedgeRule bounds hedged attempts.
type HedgeRule struct {
	// MaxRatio is the maximum ratio of hedges to sub-requests in any window of WindowMs; 0 turns hedging off.
	MaxRatio float64 `yaml:"max_ratio" json:"max_ratio"`
	WindowMs int     `yaml:"window_ms" json:"window_ms"`
	// Quantile is the quantile of the shard's own latency after which a hedge is sent, in (0, 1).
	Quantile float64 `yaml:"quantile" json:"quantile"`
	// MinDelayMs is the minimum delay before a hedge, in milliseconds.
	MinDelayMs int `yaml:"min_delay_ms" json:"min_delay_ms"`
}

// RetryRule bounds retries.
type RetryRule struct {
	// MaxRatio is the maximum ratio of retries to sub-requests in any window of WindowMs.
	MaxRatio float64 `yaml:"max_ratio" json:"max_ratio"`
	WindowMs int     `yaml:"window_ms" json:"window_ms"`
	// MaxAttempts is the maximum number of attempts of a sub-request, including the first one.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
}

// DeadlineRule bounds the deadlines that callers may ask for, in milliseconds.
type DeadlineRule struct {
	DefaultMs int `yaml:"default_ms" json:"default_ms"`
	MaxMs     int `yaml:"max_ms" json:"max_ms"`
}
