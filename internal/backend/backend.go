package backend

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// DialTimeout bounds a connection attempt to a server; one that is not refused but gets no answer holds a worker for that
// long, and a zone that is cut off has many servers.
const DialTimeout = 300 * time.Millisecond

// AttemptID identifies one try of one sub-request. A server echoes it, so that a late or crossed reply is recognised.
type AttemptID struct {
	Request     model.RequestID   `json:"request_id"`
	Incarnation model.Incarnation `json:"instance_start"`
	Attempt     uint32            `json:"attempt"`
}

// Status is what is known about an attempt after it ended.
type Status int

// The statuses. Only StatusOK carries a reply.
const (
	// StatusOK: the server ran the request and its reply matched.
	StatusOK Status = iota
	// StatusUnreachable: no connection, so the request was not sent and did not run.
	StatusUnreachable
	// StatusShed: the server refused the request under load and did not run it.
	StatusShed
	// StatusDraining: the server is leaving and did not run the request.
	StatusDraining
	// StatusDeadlinePassed: the server refused the request because its deadline had passed, and did not run it.
	StatusDeadlinePassed
	// StatusVersionNotHeld: the server no longer or not yet holds the wanted index version, and did not run the request.
	StatusVersionNotHeld
	// StatusLost: the request was sent and no whole reply came; it may have run.
	StatusLost
	// StatusMismatched: a reply for another attempt or shard came; it was dropped. The request may have run.
	StatusMismatched
	// StatusFailed: the server ran the request and reported an error.
	StatusFailed
	// StatusCancelled: the attempt was cancelled on this side; it may have run.
	StatusCancelled
	// StatusOwnerLost: the daemon that was to send the attempt was lost or did not know the server; it may have run. It
	// occurs for idempotent requests only.
	StatusOwnerLost
	// StatusBusy: the attempt waited for the server for too long and was withdrawn before it was sent.
	StatusBusy
	// StatusZoneUnreachable: the server's availability zone was judged unreachable while the attempt was pending; it may
	// have run. It occurs for idempotent requests only.
	StatusZoneUnreachable
	// StatusReplaced: another server has the address and did not run the request.
	StatusReplaced
	// StatusOverBudget: the daemon that was to send an extra attempt has none left, and did not send it.
	StatusOverBudget
)

var statusNames = [...]string{
	"ok", "unreachable", "shed", "draining", "deadline_passed", "version_not_held", "lost", "mismatched", "failed",
	"cancelled", "owner_lost", "busy",
	"zone_unreachable", "replaced", "over_budget",
}

// String returns the status's name as used in logs and metrics.
func (s Status) String() string { return statusNames[s] }

// ProvablyNotRun tells whether the status proves that the server did not run the request.
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

// Load is what a server reports about itself. Reports lag and may mislead; they are hints only.
type Load struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
}

// QueryRequest asks one shard on one server.
type QueryRequest struct {
	ID      AttemptID
	Service model.ServiceName
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	// WantVersion is the index version to answer from; 0 means the server's current one.
	WantVersion model.IndexVersion
	Text        string
	// Limit is the largest number of items to return.
	Limit    int
	Deadline time.Time
	// Message is passed on in place of Text, WantVersion and Limit; nil for a query of the product's own interface.
	Message *Message
}

// QueryReply is a server's answer for one shard.
type QueryReply struct {
	ID       AttemptID
	Shard    model.ShardName
	Epoch    model.ShardMapEpoch
	Version  model.IndexVersion
	Retained []model.IndexVersion
	Items    []model.Item
	Load     Load
	// Message is the server's answer to a request's Message.
	Message *MessageReply
}

// QueryResult is the end of a query attempt; Reply is set for StatusOK only, but for a server's failure to answer a Message,
// whose MessageReply comes with StatusFailed.
type QueryResult struct {
	Status Status
	Reply  QueryReply
	// RetryAfter is the server's hint after StatusShed; 0 if it gave none.
	RetryAfter time.Duration
	// Retained lists the versions that the server holds after StatusVersionNotHeld.
	Retained []model.IndexVersion
}

// ExecuteRequest asks one server to run a non-idempotent request.
type ExecuteRequest struct {
	ID       AttemptID
	Service  model.ServiceName
	Shard    model.ShardName
	Key      string
	Body     string
	Deadline time.Time
	// Message is passed on in place of Key and Body; nil for a request of the product's own interface.
	Message *Message
}

// ExecuteResult is the end of a non-idempotent attempt; Result is set for StatusOK only, and Message where the server
// answered a request's Message, with StatusOK or StatusFailed.
type ExecuteResult struct {
	Status     Status
	Result     string
	RetryAfter time.Duration
	Message    *MessageReply
}

// Health is a server's own statement of its health, which may lag or mislead.
type Health struct {
	Serving  bool `json:"serving"`
	Draining bool `json:"draining"`
}

// Server is one backend server. Its methods are safe for concurrent use and return when ctx ends at the latest.
type Server interface {
	Query(ctx context.Context, req QueryRequest) QueryResult
	Execute(ctx context.Context, req ExecuteRequest) ExecuteResult
	// Cancel tells the server to stop an attempt. It reports whether the server acknowledged.
	Cancel(ctx context.Context, id AttemptID) bool
	Health(ctx context.Context) (Health, error)
	Load(ctx context.Context) (Load, error)
	// Warm opens a connection ahead of use, unless one is idle.
	Warm(ctx context.Context) error
	// Close closes idle connections; attempts in flight end whole.
	Close()
}

// Connector makes Server values.
type Connector interface {
	// Connect returns a client that holds at most connections connections to the server.
	Connect(server *model.Server, connections int) Server
}
