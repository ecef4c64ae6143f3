package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// hedgeParts are the parts of a service's budget that hedges for requests of each rank may use; retries, without which a
// shard is missing for certain, may use all of it.
var hedgeParts = [model.RankCount]float64{0.9, 0.8, 0.4}

func (c *routeCall) request(sh *shardState) backend.QueryRequest {
	r := backend.QueryRequest{Service: c.service(sh), Message: c.message}
	if c.route.Index != nil && sh.attempts == 1 {
		// The reply to a later attempt is wanted by itself: one that is merged with others is lost if one of them came before.
		r.Limit = c.route.Index.Results
	}
	return r
}

// service is the shard's own: each shard of an index is a service of the platform.
func (c *routeCall) service(sh *shardState) model.ServiceName {
	return model.ServiceName(sh.shard.Name)
}

func (c *routeCall) wantedVersion(time.Time) model.IndexVersion { return 0 }

func (c *routeCall) gathers() (mergeWait time.Duration, ok bool) {
	return gather.MergeWait(c.due.Sub(c.arrived)), c.route.Index != nil
}

func (c *routeCall) countRequest(sh *shardState, now time.Time) {
	c.searcher.Dispatcher.ServiceBudgets.OnRequest(c.service(sh), now)
}

func (c *routeCall) spendHedge(sh *shardState, now time.Time) payment {
	c.hedges++
	c.lastHedge = now
	if c.firstHedge.IsZero() {
		c.firstHedge = now
	}
	return c.spend(sh, hedgeParts[c.req.Rank], now)
}

func (c *routeCall) spendRetry(sh *shardState, now time.Time) payment {
	c.retries++
	return c.spend(sh, 1, now)
}

// spend pays for an extra attempt from this daemon's part of the budget, or leaves it to the daemon that sends the attempt. The
// parts of a large fleet are small, and those that some daemons lack others have left.
func (c *routeCall) spend(sh *shardState, part float64, now time.Time) payment {
	if c.searcher.Dispatcher.ServiceBudgets.Spend(c.service(sh), part, now) {
		return free
	}
	c.lent++
	return payment{lent: part}
}

func (c *routeCall) maxAttempts() int { return max(1, c.route.MaxAttempts) }

func (c *routeCall) mayHedge(sh *shardState) bool { return sh.attempts < c.maxAttempts() }

// hedgeTime is when the server is later than it usually is.
func (c *routeCall) hedgeTime(server *tables.Server, now time.Time) time.Time {
	return now.Add(gather.HedgeDelay(server.HedgeDelay(), c.due.Sub(c.arrived)))
}

func (c *routeCall) postponed(now time.Time) time.Time {
	g := c.gathered()
	return gather.Postpone(g.Shards, g.Open, c.arrived, c.due.Sub(c.arrived), now)
}
