package model

// Outcome states what is known about the execution of a request.
type Outcome string

// All outcomes. For a non-idempotent request, OutcomeComplete means that it ran.
const (
	// OutcomeComplete: every shard answered, all of them from one snapshot.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial: some shards are missing; Coverage names them.
	OutcomePartial Outcome = "partial"
	// OutcomeNotRun: no backend server started the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed: the request was sent and produced no usable answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown: a non-idempotent request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Coverage states how much of the key space an answer covers.
type Coverage struct {
	ShardsAsked    int         `json:"shards_asked"`
	ShardsAnswered int         `json:"shards_answered"`
	Missing        []ShardName `json:"missing"`
	// Fraction is the share of the key space held by the shards that answered, in [0, 1].
	Fraction float64 `json:"fraction"`
	Complete bool    `json:"complete"`
}

// Item is one result of a query.
type Item struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Body  string  `json:"body,omitempty"`
}
