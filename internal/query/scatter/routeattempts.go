package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// hedgeBudgetFractions are the fractions of a service's budget that hedges may use, by the rank of the request. Retries may
// use all of it, since without a retry the shard is certainly missing.
var hedgeBudgetFractions = [model.RankCount]float64{0.9, 0.8, 0.4}

func (c *routeCall) request(sh *shardState) backend.QueryRequest {
	r := backend.QueryRequest{Service: c.service(sh), Message: c.message}
	if c.route.Index != nil && sh.attempts == 1 {
		// Replies to later attempts are not to be merged: a merged reply is dropped if one of its shards is part of another one.
		r.Limit = c.route.Index.Results
	}
	return r
}

// service returns the shard's own service: each shard of an index is a service of the platform.
func (c *routeCall) service(sh *shardState) model.ServiceName {
	return model.ServiceName(sh.shard.Name)
}

func (c *routeCall) wantedVersion(time.Time) model.IndexVersion { return 0 }

// sendsRemotely reports whether the answer comes from many shards, or the server accepts fewer connections than there may be
// daemons, so that not every daemon can have one of its own.
func (c *routeCall) sendsRemotely(server *tables.Server) bool {
	inv := &c.req.Topology.Inventory
	return c.route.Index != nil || server.Spec().Connections < inv.MaxInstances+inv.SurgeInstances
}

func (c *routeCall) mergeWait() time.Duration {
	if c.route.Index == nil {
		return 0
	}
	return gather.MergeWait(c.due.Sub(c.arrived))
}

func (c *routeCall) maxRecords() int {
	if c.route.Index == nil {
		return 0
	}
	return c.route.Index.Results
}

func (c *routeCall) countRequest(sh *shardState, now time.Time) {
	c.searcher.Dispatcher.ServiceBudgets.OnRequest(c.service(sh), now)
}

func (c *routeCall) spendHedge(sh *shardState, now time.Time) budgetCharge {
	return c.spend(sh, hedgeBudgetFractions[c.req.Rank], now)
}

func (c *routeCall) spendRetry(sh *shardState, now time.Time) budgetCharge {
	return c.spend(sh, 1, now)
}

func (c *routeCall) onHedged(now time.Time) {
	c.hedges++
	c.lastHedge = now
	if c.firstHedge.IsZero() {
		c.firstHedge = now
	}
}

func (c *routeCall) onRetried() { c.retries++ }

// spend charges an extra attempt to this daemon's part of the service's budget, or else to the daemon that sends the
// attempt. In a large fleet each daemon's part is small, so that some daemons run out while others have budget left.
func (c *routeCall) spend(sh *shardState, fraction float64, now time.Time) budgetCharge {
	if c.searcher.Dispatcher.ServiceBudgets.Spend(c.service(sh), fraction, now) {
		return localCharge
	}
	c.remoteCharges++
	return budgetCharge{remoteFraction: fraction}
}

func (c *routeCall) maxAttempts() int { return max(1, c.route.MaxAttempts) }

func (c *routeCall) mayHedge(sh *shardState) bool { return sh.attempts < c.maxAttempts() }

// hedgeTime returns when the server will have taken longer than usual, but as late as another replica can still reply in time.
func (c *routeCall) hedgeTime(server *tables.Server, second time.Duration, now time.Time) time.Time {
	return now.Add(gather.HedgeDelay(server.HedgeDelay(), second, c.due.Sub(c.arrived)))
}

func (c *routeCall) postponeHedges(now time.Time) time.Time {
	g := c.gatherState()
	return gather.PostponeHedge(g.Shards, g.Open, c.arrived, c.due.Sub(c.arrived), now)
}
