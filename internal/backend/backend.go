package backend

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// DialTimeout is the timeout of a connection attempt to a server. An attempt that is neither accepted nor refused occupies a
// worker for that long, and in an unreachable availability zone this applies to many servers.
const DialTimeout = 300 * time.Millisecond

// AttemptID identifies one attempt of one sub-request. A server echoes it, so that a late reply or one to another attempt is
// recognised.
type AttemptID struct {
	Request     model.RequestID   `json:"request_id"`
	Incarnation model.Incarnation `json:"instance_start"`
	Attempt     uint32            `json:"attempt"`
}

// Status is the outcome of an attempt, as far as it is known.
type Status int

// The statuses. Only StatusOK and, for a Message, StatusFailed come with a reply.
const (
	// StatusOK means that the server ran the request and its reply matched the attempt.
	StatusOK Status = iota
	// StatusUnreachable means that there was no connection, so the request was not sent and did not run.
	StatusUnreachable
	// StatusShed means that the server refused the request under load and did not run it.
	StatusShed
	// StatusDraining means that the server is leaving and did not run the request.
	StatusDraining
	// StatusDeadlinePassed means that the server refused the request because its deadline had passed, and did not run it.
	StatusDeadlinePassed
	// StatusVersionNotHeld means that the server does not yet or no longer hold the requested index version, and did not run the
	// request.
	StatusVersionNotHeld
	// StatusLost means that the request was sent and no complete reply was received; it may have run.
	StatusLost
	// StatusMismatched means that a reply to another attempt or for another shard was received and dropped. The request may have
	// run.
	StatusMismatched
	// StatusFailed means that the server ran the request and reported an error.
	StatusFailed
	// StatusCancelled means that the attempt was cancelled on the client side; it may have run.
	StatusCancelled
	// StatusOwnerLost means that the daemon which was to send the attempt was lost or did not know the server; the request may
	// have run. It occurs for idempotent requests only.
	StatusOwnerLost
	// StatusBusy means that the attempt waited too long for capacity at the server and was withdrawn before it was sent.
	StatusBusy
	// StatusZoneUnreachable means that the server's availability zone was found unreachable while the attempt was pending; it
	// may have run. It occurs for idempotent requests only.
	StatusZoneUnreachable
	// StatusReplaced means that another server has taken over the address and did not run the request.
	StatusReplaced
	// StatusOverBudget means that the daemon which was to send an extra attempt had no budget left and did not send it.
	StatusOverBudget
)

var statusNames = [...]string{
	"ok", "unreachable", "shed", "draining", "deadline_passed", "version_not_held", "lost", "mismatched", "failed",
	"cancelled", "owner_lost", "busy",
	"zone_unreachable", "replaced", "over_budget",
}

// Known reports whether s is one of the statuses above. Another daemon may run a version with further ones.
func (s Status) Known() bool { return s >= 0 && int(s) < len(statusNames) }

// String returns the name of the status in logs and metrics.
func (s Status) String() string {
	if !s.Known() {
		return "unknown"
	}
	return statusNames[s]
}

// ProvablyNotRun reports whether the status proves that the server did not run the request.
func (s Status) ProvablyNotRun() bool {
	switch s {
	case StatusUnreachable, StatusShed, StatusDraining, StatusDeadlinePassed, StatusVersionNotHeld, StatusBusy,
		StatusReplaced, StatusOverBudget:
		return true
	case StatusOK, StatusLost, StatusMismatched, StatusFailed, StatusCancelled, StatusOwnerLost,
		StatusZoneUnreachable:
		return false
	}
	return false
}

// Load is the load that a server reports. Reports are delayed and may be wrong, so they are only hints.
type Load struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
}

// QueryRequest is a query to one shard on one server.
type QueryRequest struct {
	ID      AttemptID
	Service model.ServiceName
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	// WantVersion is the index version to answer from; 0 means the server's current one.
	WantVersion model.IndexVersion
	Text        string
	// Limit is the maximum number of items to return.
	Limit    int
	Deadline time.Time
	// Message is sent instead of Text, WantVersion and Limit; nil for a query through oleandersill's own interface.
	Message *Message
}

// QueryReply is a server's reply for one shard. Version is the index version that it is from, and Retained lists the index
// versions that the server holds.
type QueryReply struct {
	ID       AttemptID
	Shard    model.ShardName
	Epoch    model.ShardMapEpoch
	Version  model.IndexVersion
	Retained []model.IndexVersion
	Items    []model.Item
	Load     Load
	// Message is the server's reply to the request's Message.
	Message *MessageReply
}

// QueryResult is the result of a query attempt. Reply is set with StatusOK and, if a server failed to process a Message, with
// StatusFailed; in that case it holds the server's MessageReply.
type QueryResult struct {
	Status Status
	Reply  QueryReply
	// RetryAfter is how long the server wants no further requests from the daemon that sent the attempt; 0 if it did not say.
	RetryAfter time.Duration
	// Retained lists, with StatusVersionNotHeld, the index versions that the server holds.
	Retained []model.IndexVersion
}

// ExecuteRequest is a non-idempotent request to one server.
type ExecuteRequest struct {
	ID       AttemptID
	Service  model.ServiceName
	Shard    model.ShardName
	Key      string
	Body     string
	Deadline time.Time
	// Message is sent instead of Key and Body; nil for a request through oleandersill's own interface.
	Message *Message
}

// ExecuteResult is the result of a non-idempotent attempt. Result is set with StatusOK only. Message is set with StatusOK or
// StatusFailed if the server replied to the request's Message.
type ExecuteResult struct {
	Status Status
	Result string
	// RetryAfter is how long the server wants no further requests from this daemon; 0 if it did not say.
	RetryAfter time.Duration
	Message    *MessageReply
	Load       Load
}

// Health is the health that a server reports. Reports may be delayed or wrong.
type Health struct {
	Serving  bool `json:"serving"`
	Draining bool `json:"draining"`
	// ColdRemaining is how much longer the server is cold; 0 if it is warm or does not say.
	ColdRemaining time.Duration `json:"-"`
}

// Server is a client of one backend server. Its methods are safe for concurrent use and return at the latest when ctx is
// done.
type Server interface {
	Query(ctx context.Context, req QueryRequest) QueryResult
	Execute(ctx context.Context, req ExecuteRequest) ExecuteResult
	// Cancel asks the server to stop an attempt and reports whether the server acknowledged.
	Cancel(ctx context.Context, id AttemptID) bool
	Health(ctx context.Context) (Health, error)
	Load(ctx context.Context) (Load, error)
	// Warm opens a connection in advance, unless there is an idle one.
	Warm(ctx context.Context) error
	// Close closes idle connections. Attempts in flight are not interrupted.
	Close()
}

// Connector creates Server values.
type Connector interface {
	// Connect returns a client that opens at most the given number of connections to the server.
	Connect(server *model.Server, connections int) Server
}
