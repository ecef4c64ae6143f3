package observe

import (
	"time"

	"oleandersill.example/oleandersill/internal/measure/load"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// Answer is what a caller got for one query.
type Answer struct {
	Arrival load.Arrival
	// Text is the query's text, unique within the round.
	Text string
	// Sent is the time at which the request was really sent; Latency counts from the intended time.
	Sent    time.Time
	Latency time.Duration
	// Received is false if no whole HTTP response came.
	Received bool
	// Problem is the code of a request rejected before it was run, or empty.
	Problem        string
	HeaderOutcome  string
	HeaderCoverage string
	Body           queryhttp.SearchResponse
}

// Outcome returns the answer's outcome; a request without a whole response counts as failed.
func (a *Answer) Outcome() model.Outcome {
	if !a.Received {
		return model.OutcomeFailed
	}
	return model.Outcome(a.HeaderOutcome)
}

// ShardMaps gives the fraction of the key space that each shard holds, by epoch.
type ShardMaps map[model.ShardMapEpoch]map[model.ShardName]float64

// Add adds the shard map of a service.
func (m ShardMaps) Add(spec model.ServiceSpec) {
	shards := make(map[model.ShardName]float64, len(spec.Shards))
	for _, sh := range spec.Shards {
		shards[sh.Name] = float64(sh.KeyTo-sh.KeyFrom) / model.KeySpace
	}
	m[spec.ShardMapEpoch] = shards
}
