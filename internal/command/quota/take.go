package quota

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Take asks for a token for one request of the workspace. It waits for other daemons if necessary, for at most two rounds of
// Allowance.GrantValidity. A granted request that is not run gives its token back by Return.
func (k *Keeper) Take(ctx context.Context, workspace *model.Workspace) quota.Decision {
	asked := k.cfg.Now()
	if !workspace.Quota.Limited() {
		return quota.Decision{Outcome: quota.Granted, Asked: asked}
	}
	d := k.decide(workspace, asked)
	d.Asked = asked
	if d.Outcome == quota.Granted && ctx.Err() != nil {
		k.Return(workspace, d)
		d = quota.Decision{Outcome: quota.Unavailable}
	}
	k.cfg.Metrics.QuotaTokens(telemetry.QuotaOutcome(d.Outcome.String()), 1)
	return d
}

func (k *Keeper) decide(workspace *model.Workspace, now time.Time) quota.Decision {
	own := tables.QuotaRequest{Workspace: workspace.Name, Tokens: 1, Part: k.partOf(workspace.Quota)}
	if granted, _, _ := k.table.Grant(&own, now); granted == 1 {
		return quota.Decision{Outcome: quota.Granted, Zone: k.cfg.Self.Zone}
	}
	return k.waitForRound(workspace)
}

// waitForRound leads the next round of messages for the workspace, or waits for the request that does.
func (k *Keeper) waitForRound(workspace *model.Workspace) quota.Decision {
	waiter, leads := k.table.JoinRound(workspace.Name)
	if waiter == nil && !leads {
		return quota.Decision{Outcome: quota.Refused, RetryAfter: retryAfter(0)}
	}
	if waiter != nil {
		// The result arrives by the end of the round after the one in progress.
		r := <-waiter.Result
		if !r.Lead {
			return r.Decision
		}
	}
	defer k.table.EndRound(workspace.Name)
	return k.leadRound(workspace)
}

// leadRound asks for a token for the caller and for each waiting request, tells these the decisions, and returns the caller's.
func (k *Keeper) leadRound(workspace *model.Workspace) quota.Decision {
	waiting := k.table.Collect(workspace.Name)
	began := k.cfg.Now()
	r := round{k: k, workspace: workspace, needed: 1 + len(waiting)}
	r.ask(began)
	if late := k.cfg.Now().Sub(began); late > k.validity {
		// Tokens that were granted before a window must not be used in it.
		r.granted = nil
	}
	own := r.decision(0)
	for i, w := range waiting {
		w.Result <- tables.QuotaResult{Decision: r.decision(i + 1)}
	}
	return own
}

// returnTimeout limits the return of a token, which nobody waits for.
const returnTimeout = 500 * time.Millisecond

// Return gives back the token of a granted request that no server ran. It does not wait. A token whose return is lost counts as used.
func (k *Keeper) Return(workspace *model.Workspace, d quota.Decision) {
	if d.Outcome != quota.Granted || !workspace.Quota.Limited() {
		return
	}
	k.run(func() {
		now := k.cfg.Now()
		owner, ok := k.table.Owner(workspace.Name, d.Zone, now)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		if _, err := k.takeFrom(ctx, &owner, workspace, peer.QuotaTake{Returned: 1, ReturnedAge: now.Sub(d.Asked)}); err == nil {
			k.cfg.Metrics.QuotaTokens(telemetry.QuotaReturned, 1)
		}
	})
}
