package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// hedgeParts are the parts of a service's budget that hedges for requests of each rank may use; retries, without which a
// shard is missing for certain, may use all of it.
var hedgeParts = [model.RankCount]float64{0.9, 0.8, 0.4}

// serviceOf returns the service that an attempt of a shard counts for.
func (c *call) serviceOf(i int) model.ServiceName {
	if c.route != nil {
		return model.ServiceName(c.shards[i].shard.Name)
	}
	return c.req.Service.Name
}

// countRequest counts the first attempt of a shard, which the budgets are measured by.
func (c *call) countRequest(i int, now time.Time) {
	if c.route != nil {
		c.searcher.Dispatcher.ServiceBudgets.OnRequest(c.serviceOf(i), now)
		return
	}
	c.searcher.Dispatcher.Budgets.OnRequest(now)
}

// spendHedge tells whether the budget allows a hedge of a shard, and counts it.
func (c *call) spendHedge(i int, now time.Time) bool {
	d := c.searcher.Dispatcher
	if c.route == nil {
		return d.Budgets.SpendHedge(c.req.Rank, now)
	}
	if !d.ServiceBudgets.Spend(c.serviceOf(i), hedgeParts[c.req.Rank], now) {
		c.route.refusals++
		return false
	}
	c.route.hedges++
	return true
}

// spendRetry tells whether the budget allows a retry of a shard, and counts it; the baseline policy bounds retries by their
// number alone.
func (c *call) spendRetry(i int, now time.Time) bool {
	d := c.searcher.Dispatcher
	if c.route == nil {
		return d.Policy() == model.PolicyBaseline || d.Budgets.SpendRetry(now)
	}
	if !d.ServiceBudgets.Spend(c.serviceOf(i), 1, now) {
		c.route.refusals++
		return false
	}
	c.route.retries++
	return true
}

// maxAttempts is the largest number of attempts of a shard, the first one included.
func (c *call) maxAttempts() int {
	if c.route != nil {
		return max(1, c.route.route.MaxAttempts)
	}
	return c.req.Topology.Rules.Retry.MaxAttempts
}

// mayHedge tells whether a shard may get another attempt beside the one under way. The product's own queries are bounded by
// the budget alone.
func (c *call) mayHedge(sh *shardState) bool {
	return c.route == nil || sh.attempts < c.maxAttempts()
}

// wantedVersion is the index version to ask for from the start; 0 means the current one.
func (c *call) wantedVersion(now time.Time) model.IndexVersion {
	if c.route != nil {
		return 0
	}
	return c.searcher.Dispatcher.PreferredVersion(c.req.Service, now)
}
