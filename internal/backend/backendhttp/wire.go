package backendhttp

import (
	"fmt"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// Paths of a backend server.
const (
	PathQuery   = "/v1/query"
	PathExecute = "/v1/execute"
	PathCancel  = "/v1/cancel"
	PathHealth  = "/v1/health"
	PathLoad    = "/v1/load"
)

// HeaderAttempt is the header with the attempt in replies. It shows that a reply is to another attempt before the body is read.
const HeaderAttempt = "X-Attempt-Id"

// AttemptHeader returns the value of HeaderAttempt for an attempt.
func AttemptHeader(id backend.AttemptID) string {
	return fmt.Sprintf("%s/%d/%d", id.Request, id.Incarnation, id.Attempt)
}

// QueryBody is the body of a query.
type QueryBody struct {
	ID          backend.AttemptID   `json:"id"`
	Service     model.ServiceName   `json:"service"`
	Shard       model.ShardName     `json:"shard"`
	Epoch       model.ShardMapEpoch `json:"shard_map_epoch"`
	WantVersion model.IndexVersion  `json:"want_version"`
	Text        string              `json:"text"`
	Limit       int                 `json:"limit"`
	DeadlineMs  int64               `json:"deadline_unix_ms"`
}

// QueryReplyBody is the body of a query's reply.
type QueryReplyBody struct {
	ID       backend.AttemptID    `json:"id"`
	Shard    model.ShardName      `json:"shard"`
	Epoch    model.ShardMapEpoch  `json:"shard_map_epoch"`
	Version  model.IndexVersion   `json:"index_version"`
	Retained []model.IndexVersion `json:"retained_versions"`
	Items    []model.Item         `json:"items"`
	Load     backend.Load         `json:"load"`
}

// ExecuteBody is the body of a non-idempotent request.
type ExecuteBody struct {
	ID         backend.AttemptID `json:"id"`
	Service    model.ServiceName `json:"service"`
	Shard      model.ShardName   `json:"shard"`
	Key        string            `json:"key"`
	Body       string            `json:"body"`
	DeadlineMs int64             `json:"deadline_unix_ms"`
}

// ExecuteReplyBody is the body of a non-idempotent request's reply.
type ExecuteReplyBody struct {
	ID     backend.AttemptID `json:"id"`
	Result string            `json:"result"`
	Load   backend.Load      `json:"load"`
}

// CancelBody is the body of a cancellation.
type CancelBody struct {
	ID backend.AttemptID `json:"id"`
}

// RefusalBody is the body of every reply whose status is not 200. Ran is false if the server did not run the request.
type RefusalBody struct {
	Reason       string               `json:"reason"`
	Ran          bool                 `json:"ran"`
	RetryAfterMs int64                `json:"retry_after_ms,omitempty"`
	Retained     []model.IndexVersion `json:"retained_versions,omitempty"`
}
