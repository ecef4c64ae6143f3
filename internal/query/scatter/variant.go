package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// budgetCharge specifies which daemon's budget covers an attempt. If local is set, no other daemon is charged. Otherwise the
// daemon that sends the attempt charges it to remoteFraction of its own budget; 0 means that no budget covers it.
type budgetCharge struct {
	local          bool
	remoteFraction float64
}

// localCharge is the charge of attempts that this daemon's budget covers, and of those that need no budget: first attempts,
// queries for another index version, and attempts of call.resend.
var localCharge = budgetCharge{local: true}

func (b budgetCharge) allowed() bool { return b.local || b.remoteFraction > 0 }

// variant implements what differs between a query of the search API and a request of a route. The choice of replicas,
// attempts, hedges and retries is the same for both and implemented by call. All methods are called with call.mu held.
type variant interface {
	// request returns a shard's sub-request without the fields that call.subRequest sets.
	request(sh *shardState) backend.QueryRequest
	// service returns the service that a shard's attempts are counted under in budgets and metrics.
	service(sh *shardState) model.ServiceName
	// wantedVersion returns the index version that first attempts request; 0 means the server's current one.
	wantedVersion(now time.Time) model.IndexVersion
	// sendsRemotely reports whether an attempt at the server may go through a daemon near it, which merges the replies, and
	// mergeWait returns how long a reply may wait there for others.
	sendsRemotely(server *tables.Server) bool
	mergeWait() time.Duration
	// maxRecords returns the number of records of a reply to a message that can be part of the answer; 0 means that replies stay
	// unchanged.
	maxRecords() int
	// mayStart reports whether the prepared first attempts are to be sent. If not, the call ends without any.
	mayStart() bool
	// onStarted is called once the first attempts have started.
	onStarted()
	// onResult handles the result of one attempt.
	onResult(i int, q *dispatch.QueryAttempt, r backend.QueryResult, now time.Time)
	// evaluate ends the call if it need not wait for any pending attempt.
	evaluate(now time.Time)

	// countRequest counts the first attempt of a shard; the budgets for extra attempts depend on the number of first ones.
	countRequest(sh *shardState, now time.Time)
	// spendHedge and spendRetry return the charge for an extra attempt of a shard. They charge this daemon's budget if it
	// covers the attempt.
	spendHedge(sh *shardState, now time.Time) budgetCharge
	spendRetry(sh *shardState, now time.Time) budgetCharge
	// onHedged and onRetried are called when a hedge or a retry that a budget covers is sent.
	onHedged(now time.Time)
	onRetried()
	// maxAttempts returns the maximum number of attempts of a shard, including the first one.
	maxAttempts() int
	// mayHedge reports whether a shard may get another attempt in addition to the pending one.
	mayHedge(sh *shardState) bool
	// hedgeTime returns when a hedge of an attempt that starts now at the server is due; zero if none is. second is the expected
	// time of an attempt at another replica; 0 if there is none.
	hedgeTime(server *tables.Server, second time.Duration, now time.Time) time.Time
	// postponeHedges returns a later time for hedges that are due now, or zero if they are to be sent.
	postponeHedges(now time.Time) time.Time
}
