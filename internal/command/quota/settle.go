package quota

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/telemetry"
)

const (
	// settleTimeout limits a settlement, which nobody waits for.
	settleTimeout = 500 * time.Millisecond
	// settleRetry is the time between settlements while no owner grants anything.
	settleRetry = 250 * time.Millisecond
	// minSettleInterval is the least time between settlements of a workspace whose owner has too few tokens.
	minSettleInterval = 10 * time.Millisecond
)

// startSettlement lets a worker settle the account of a workspace with its owner.
func (k *Keeper) startSettlement(workspace model.WorkspaceName) {
	if !k.run(func() { k.settle(workspace) }) {
		k.cfg.After(settleRetry, func() { k.startSettlement(workspace) })
	}
}

// settle asks the owner for the tokens of the requests that this daemon admitted, and returns those of requests that were not run. As
// long as a part of the debt remains, it is repeated.
func (k *Keeper) settle(workspace model.WorkspaceName) {
	limit, version := k.limitOf(workspace)
	if version != 0 && !limit.Limited() {
		k.table.CancelSettlement(workspace)
		return
	}
	req := k.table.Settlement(workspace, k.cfg.Now())
	req.Limit = limit
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply := k.askOwner(ctx, &req)
	k.cfg.Metrics.QuotaTokens(telemetry.QuotaSettled, reply.Granted)
	wait, empty := settleRetry, time.Duration(0)
	if reply.Standing == quota.Owner {
		wait = 0
		if reply.Granted < req.Tokens {
			empty, wait = reply.RetryAfter, max(minSettleInterval, reply.RetryAfter)
		}
	}
	if !k.table.EndSettlement(workspace, reply.Granted, empty, k.cfg.Now()) {
		return
	}
	if wait == 0 {
		k.startSettlement(workspace)
		return
	}
	k.cfg.After(wait, func() { k.startSettlement(workspace) })
}

// tick records that the process runs, now and every quota.TickInterval, and removes idle accounts.
func (k *Keeper) tick() {
	now := k.cfg.Now()
	if k.table.Tick(now) {
		k.cfg.Log.Warn().Msg("quota_paused")
	}
	k.table.RemoveIdle(now)
	if weight := k.table.Weight(now); weight != k.weight {
		k.weight = weight
		k.cfg.Log.Info().Float64("share", weight).Msg("quota_share_changed")
	}
	k.cfg.After(quota.TickInterval, k.tick)
}
