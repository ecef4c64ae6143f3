package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// payment says who pays for an extra attempt: this daemon has if paid is set. Otherwise the daemon through which the attempt
// goes may, from the given part of its own; 0 means that nobody does.
type payment struct {
	paid bool
	lent float64
}

// free is the payment of attempts that are not extra: first ones, and those in place of one that did not reach a server.
var free = payment{paid: true}

func (p payment) possible() bool { return p.paid || p.lent > 0 }

// variant is what differs between a query of the product's own interface and a request of a route. They share the choice of
// replicas, attempts, hedges and retries, which call has. All methods are called under the call's lock.
type variant interface {
	// request returns a shard's sub-request without what all have in common.
	request(sh *shardState) backend.QueryRequest
	// service returns the service that attempts of a shard count for.
	service(sh *shardState) model.ServiceName
	// wantedVersion is the index version to ask for from the start; 0 means the current one.
	wantedVersion(now time.Time) model.IndexVersion
	// gathers tells whether first attempts may go to daemons near the servers, which merge the replies, and how long a reply may
	// wait for others there.
	gathers() (mergeWait time.Duration, ok bool)
	// begin is called once the first attempts have started.
	begin()
	// onResult takes the result of one attempt.
	onResult(i int, q *dispatch.QueryAttempt, r backend.QueryResult, now time.Time)
	// evaluate ends the call if nothing is worth waiting for.
	evaluate(now time.Time)

	// countRequest counts the first attempt of a shard, which the budgets are measured by.
	countRequest(sh *shardState, now time.Time)
	// spendHedge and spendRetry say who pays for an extra attempt of a shard, and count one that this daemon pays for.
	spendHedge(sh *shardState, now time.Time) payment
	spendRetry(sh *shardState, now time.Time) payment
	// maxAttempts is the largest number of attempts of a shard, the first one included.
	maxAttempts() int
	// mayHedge tells whether a shard may get another attempt beside the one under way.
	mayHedge(sh *shardState) bool
	// hedgeTime returns when a hedge of an attempt that starts now at the server is worth sending; zero if none is.
	hedgeTime(server *tables.Server, now time.Time) time.Time
	// postponed returns a later time for hedges that are due now, or zero if they are to be sent.
	postponed(now time.Time) time.Time
}
