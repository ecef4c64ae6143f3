package forwarding

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// Batch is a message from one daemon to another. It holds queries, which are sub-requests to send to servers, the results of
// queries that the receiver forwarded, and attempts to cancel.
type Batch struct {
	From model.Member
	// Messages holds each message of the queries once. Compact fills it and Expand empties it.
	Messages []backend.Message
	Queries  []Query
	Results  []Result
	Cancels  []backend.AttemptID
	// Inquiries are queries of earlier batches. The receipt says which of them the receiver still works on.
	Inquiries []backend.AttemptID
}

// Query is a sub-request for a server that the receiver owns. Left replaces Request.Deadline, since daemons have no common
// clock.
type Query struct {
	Server  model.ServerName
	Rank    model.Rank
	Request backend.QueryRequest
	// Left is the time until the deadline, set by StampDeadlines.
	Left time.Duration
	// BounceAfter is how long the attempt may wait at the receiver before it is sent; 0 means until the deadline. After that it
	// ends with backend.StatusBusy.
	BounceAfter time.Duration
	// TrimTo is the number of records of the reply to a message that the sender needs; 0 means the whole reply.
	TrimTo int
	// MergeWait is how long the receiver may hold a reply back to merge it with the replies of other shards.
	MergeWait time.Duration
	// Charge is the share of the receiver's own budget for extra attempts that this attempt may use; 0 if the sender has charged
	// its own budget.
	Charge float64
	// Workspace is the workspace of the request; empty if the request needs no key.
	Workspace model.WorkspaceName
	// Gather, if set, asks the receiver to gather the answer to the request's message from the shards of an index. Server is
	// then not set.
	Gather *Gather
	// Message is the position of the request's message in Batch.Messages, counted from 1, between Compact and Expand;
	// otherwise 0.
	Message int
}

// Gather is a request over an index that one daemon gathers for another.
type Gather struct {
	Route model.RouteName
	// Version is the version of the routing configuration that the request is handled by.
	Version model.RoutingVersion
	// Due is when the sender needs the answer, even if shards are missing. It is not sent: StampDeadlines replaces it with DueLeft,
	// the time until then.
	Due     time.Time
	DueLeft time.Duration
}

// Gathered is the answer to a Gather. Its records and signatures are in the result's reply.
type Gathered struct {
	Outcome model.Outcome
	// MissingShards is the number of shards that the answer does not cover.
	MissingShards int
	// Pushback, with OutcomeNotRun, is how long servers asked for no requests without which the answer is not possible.
	Pushback time.Duration
	// Late, with OutcomeFailed, means that the deadline passed while attempts were pending.
	Late bool
	// Took is how long the daemon that gathered worked on the answer.
	Took time.Duration
}

// Valid reports whether the query can be sent. A peer of another version, or a damaged message, may hold a rank that does not
// exist, or refer to a message that the batch does not contain.
func (q *Query) Valid() bool {
	return int(q.Rank) < model.RankCount && q.Message == 0 && q.Request.Limit >= 0 && q.Left <= maxLeft
}

// maxLeft is the longest time until a deadline that is taken from a peer.
const maxLeft = time.Hour

// Result is the result of a forwarded sub-request.
type Result struct {
	ID     backend.AttemptID
	Result backend.QueryResult
	// Waited is how long the attempt waited at the owner before it was sent.
	Waited time.Duration
	// Gathered is set for a query with Gather that the receiver worked on.
	Gathered *Gathered
	// Returned is when the attempt ended, and Delayed is how long the result then waited to be sent with others. Returned is not
	// sent: StampDelays replaces it with Delayed.
	Returned time.Time
	Delayed  time.Duration
	// Limit is the maximum number of records in the reply to a message; 0 means that the reply is not merged. TrimTo is the
	// maximum for a reply that is not merged; 0 means that it stays unchanged. Neither is sent: Compact clears them.
	Limit  int
	TrimTo int
	// Merged means, between Compact and Expand, that the reply is part of the merged reply in an earlier result of the batch that
	// belongs to the same caller's request.
	Merged bool
}

// Normalize replaces what this daemon cannot interpret: a status that it does not know becomes backend.StatusLost, which states
// nothing, and so does a success without a reply to the message, or a reply that cannot be passed on to a caller.
func (r *Result) Normalize(isMessage bool) {
	reply := r.Result.Reply.Message
	missing := isMessage && r.Result.Status == backend.StatusOK && reply == nil
	invalid := reply != nil && !backend.IsFinalStatus(reply.StatusCode)
	if !r.Result.Status.Known() || missing || invalid {
		r.Result = backend.QueryResult{Status: backend.StatusLost}
	}
}

// Receipt acknowledges a batch.
type Receipt struct {
	// Draining means that the receiver is stopping. It serves the batch, but should get no further queries.
	Draining bool
	// Starting means that the receiver has no configuration yet and sends nothing for others.
	Starting bool
	// Refused means that the receiver no longer accepts queries and dropped those of the batch without sending them.
	Refused bool
	// InProgress holds those of the batch's Inquiries that the receiver still works on.
	InProgress []backend.AttemptID
}
