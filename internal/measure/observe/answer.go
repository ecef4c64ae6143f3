package observe

import (
	"time"

	"oleandersill.example/oleandersill/internal/measure/load"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// Answer is the answer that a caller received to one query.
type Answer struct {
	Arrival load.Arrival
	// Text is the query's text, unique within the round.
	Text string
	// Sent is the time at which the request was actually sent. Latency is measured from its intended send time.
	Sent    time.Time
	Latency time.Duration
	// Received means that the whole HTTP response was received.
	Received bool
	// Problem is the problem code of a request that was rejected before it was run, or empty.
	Problem        string
	HeaderOutcome  string
	HeaderCoverage string
	Body           queryhttp.SearchResponse
}

// Outcome returns the outcome of the query, which is failed if the response was not received as a whole.
func (a *Answer) Outcome() model.Outcome {
	if !a.Received {
		return model.OutcomeFailed
	}
	return model.Outcome(a.HeaderOutcome)
}

// ShardMaps holds the fraction of the key space that each shard covers, by shard map epoch.
type ShardMaps map[model.ShardMapEpoch]map[model.ShardName]float64

// Add adds the shard map of a service.
func (m ShardMaps) Add(spec model.ServiceSpec) {
	shards := make(map[model.ShardName]float64, len(spec.Shards))
	for _, sh := range spec.Shards {
		shards[sh.Name] = float64(sh.KeyTo-sh.KeyFrom) / model.KeySpace
	}
	m[spec.ShardMapEpoch] = shards
}
