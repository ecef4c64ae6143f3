package model

import "fmt"

// ServiceName names a service of the inventory, unique within it.
type ServiceName string

// ShardName names a shard, unique within its service.
type ShardName string

// ServerName names a backend server, unique within the inventory.
type ServerName string

// AvailabilityZone names a zone of the inventory.
type AvailabilityZone string

// Region names the region that a zone lies in.
type Region string

// CallerName identifies a caller, as sent in the X-Caller header.
type CallerName string

// InstanceID identifies a daemon, unique within the fleet.
type InstanceID string

// RequestID identifies one caller's request, unique within the fleet.
type RequestID string

// IndexVersion is the version of a shard's index; 0 means unspecified.
type IndexVersion uint64

// ShardMapEpoch is the version of a service's division into shards.
type ShardMapEpoch uint64

// Revision numbers accepted configurations, starting at 1; 0 means none.
type Revision uint64

// Incarnation distinguishes successive runs of an instance. It is the start time of the run in Unix nanoseconds.
type Incarnation int64

// Rank is a priority class of requests; the lowest value is the most urgent.
type Rank uint8

// The ranks, from most to least urgent.
const (
	RankUrgent Rank = iota
	RankStandard
	RankDeferred
)

// RankCount is the number of ranks.
const RankCount = 3

var rankNames = [RankCount]string{"urgent", "standard", "deferred"}

// String returns the rank's name as used in rules, logs and metrics.
func (r Rank) String() string {
	if int(r) >= RankCount {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name and whether there is one.
func ParseRank(name string) (Rank, bool) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), true
		}
	}
	return 0, false
}

// Policy selects how a daemon schedules and routes queries.
type Policy string

// The policies.
const (
	// PolicyDefault is used unless the settings select another policy.
	PolicyDefault Policy = "default"
	// PolicyDirect is PolicyDefault without owners of servers: a daemon sends attempts to the servers itself, unless a query
	// is to be gathered; it then forwards the attempts to daemons in the servers' zones, which merge the replies.
	PolicyDirect Policy = "direct"
	// PolicyBaseline is a simple policy for comparison: random choice of the replica, FIFO queues, a fixed timeout, two
	// retries, no hedging, no ranks and no adaptive limits.
	PolicyBaseline Policy = "baseline"
)
