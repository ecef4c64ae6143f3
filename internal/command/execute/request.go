package execute

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Request is one non-idempotent request. It uses its Topology until it ends, even if a newer one is installed.
type Request struct {
	Caller   model.CallerName
	Rank     model.Rank
	Service  *model.Service
	Topology *model.Topology
	// Key is the idempotency key as the caller sent it.
	Key string
	// RoutingKey selects the shard; if it is empty, the idempotency key does.
	RoutingKey string
	Body       string
	Deadline   time.Time
	// FirstAttempt is the caller's statement that the key was never sent before, or only with the outcome not run. It
	// is the only proof that nothing ran when the store cannot be read.
	FirstAttempt bool
}

// Rejection is the reason for which a request was rejected.
type Rejection string

// Rejections of a request; RejectNone means that it was not rejected.
const (
	RejectNone            Rejection = ""
	RejectMissingKey      Rejection = "missing_key"
	RejectMalformedKey    Rejection = "malformed_key"
	RejectKeyFromFuture   Rejection = "key_from_future"
	RejectContentMismatch Rejection = "key_used_for_other_content"
)

// Reasons for outcomes other than complete, in addition to the reasons of admission and the statuses of attempts.
const (
	ReasonKeyTooOld        = "key_older_than_retention"
	ReasonClaimedElsewhere = "claimed_by_another_attempt"
	ReasonStoreUnreachable = "store_unreachable"
	ReasonStoreContended   = "store_contended"
	ReasonWindowPassed     = "claim_window_passed"
	ReasonDeadline         = "deadline_passed"
	ReasonNoServer         = "no_server"
	ReasonStillRunning     = "still_running"
)

// Response is the response to a request: a rejection, or else an outcome.
type Response struct {
	RequestID model.RequestID
	Rejection Rejection
	tables.ExecutionResult
}

// call is a request that is being executed, with the values derived from it.
type call struct {
	Request
	id     model.RequestID
	key    claim.Key
	digest string
	shard  *model.Shard
	// slowdown is the greatest slowdown of the attempts so far.
	slowdown float64
}

func (c *call) executionKey() tables.ExecutionKey {
	return tables.ExecutionKey{Service: c.Service.Name, Key: c.key.String()}
}

// unclaimedResult returns the result of a request that ended before it held its claim. An earlier attempt with the same
// key may have run, so only the caller's statement that there was none proves that nothing ran.
func (c *call) unclaimedResult(reason string, retryAfter time.Duration) tables.ExecutionResult {
	r := tables.ExecutionResult{Outcome: model.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter}
	if c.FirstAttempt {
		r.Outcome = model.OutcomeNotRun
	}
	return r
}
