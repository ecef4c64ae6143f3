package forwarding

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// Batch is what one daemon has for another: sub-requests to send, results of sub-requests that the other one forwarded,
// and attempts to cancel.
type Batch struct {
	From model.Member
	// Messages are those that the queries carry, each once; Compact fills it and Expand empties it.
	Messages []backend.Message
	Queries  []Query
	Results  []Result
	Cancels  []backend.AttemptID
}

// Query is a sub-request for a server that the receiver owns. Request.Deadline is not used; Left replaces it, since
// daemons have no common clock.
type Query struct {
	Server  model.ServerName
	Rank    model.Rank
	Request backend.QueryRequest
	// Left is the time until the deadline.
	Left time.Duration
	// BounceAfter is how long the attempt may wait before it is sent; 0 means until the deadline.
	BounceAfter time.Duration
	// MergeWait is how long a reply may wait for those of other shards to be merged with.
	MergeWait time.Duration
	// Charge is the part of the receiver's own extra attempts from which it pays for this one; 0 if the sender has paid.
	Charge float64
	// Message is the place of the request's message in the batch, counted from 1, between Compact and Expand; otherwise 0.
	Message int
}

// Result is the end of a forwarded sub-request.
type Result struct {
	ID     backend.AttemptID
	Result backend.QueryResult
	// Waited is the time that the attempt waited at the owner before it was sent.
	Waited time.Duration
	// Returned is when the result was there, and Delayed how long it then waited for others before it was sent. Returned is not
	// sent.
	Returned time.Time
	Delayed  time.Duration
	// Limit is the number of records that the reply to a message may hold, 0 if replies are not to be merged. It is not sent.
	Limit int
	// Merged tells that the reply is part of the one of an earlier result of the query in the batch, between Compact and
	// Expand.
	Merged bool
}

// Receipt acknowledges a batch.
type Receipt struct {
	// Draining tells that the receiver is stopping: it serves the batch, but wants no further queries.
	Draining bool
	// Refused tells that the receiver has finished its work for others and dropped the batch's queries, unsent.
	Refused bool
}
