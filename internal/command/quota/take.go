package quota

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
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
	choice := k.table.Choose(workspace.Name, k.cfg.Unreachable, now)
	self := k.cfg.Self.Instance
	if choice.Owners.First(self) {
		return k.grantAsOwner(workspace, now)
	}
	if empty := k.table.Empty(workspace.Name, now); empty > 0 {
		return refusal(quota.ByAgent, empty)
	}
	if choice.Agents.First(self) {
		if a := k.admit(workspace.Name, 1, now); a.Admitted == 1 {
			return quota.Decision{Outcome: quota.Granted, DecidedBy: quota.ByAgent}
		}
	}
	return k.waitForRound(workspace)
}

// grantAsOwner takes a token of a workspace that this daemon owns.
func (k *Keeper) grantAsOwner(workspace *model.Workspace, now time.Time) quota.Decision {
	g := k.table.Grant(&tables.QuotaRequest{Workspace: workspace.Name, Limit: workspace.Quota, Tokens: 1}, now)
	k.logStanding(workspace.Name, &g)
	return decisionOf(g.Standing, g.Granted == 1, g.RetryAfter)
}

// decisionOf returns the decision on a request for which the owner was asked.
func decisionOf(standing quota.Standing, granted bool, empty time.Duration) quota.Decision {
	switch {
	case granted:
		return quota.Decision{Outcome: quota.Granted, DecidedBy: quota.ByOwner}
	case standing == quota.Owner:
		return refusal(quota.ByOwner, empty)
	default:
		return quota.Decision{Outcome: quota.Unavailable, RetryAfter: retryAfter(empty)}
	}
}

// admit admits requests as the agent of the workspace, within the overdraft. There is none while another agent of the region may
// have used it within the last window.
func (k *Keeper) admit(workspace model.WorkspaceName, n int, now time.Time) tables.Admission {
	overdraft := 0
	if k.table.RegionStable(k.cfg.Allowance.Window, now) {
		overdraft = k.overdraft
	}
	a := k.table.Admit(workspace, n, overdraft, now)
	if a.Settle {
		k.startSettlement(workspace)
	}
	return a
}

// waitForRound leads the next round of messages for the workspace, or waits for the request that does.
func (k *Keeper) waitForRound(workspace *model.Workspace) quota.Decision {
	waiter, leads := k.table.JoinRound(workspace.Name)
	if waiter == nil && !leads {
		return refusal(quota.ByAgent, 0)
	}
	if waiter != nil {
		// The leader answers within the time of its own round and this one.
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
		r.admitted, r.granted = 0, 0
	}
	tokens := r.admitted + r.granted
	own := r.decision(tokens > 0)
	for i, w := range waiting {
		w.Result <- tables.QuotaResult{Decision: r.decision(i+1 < tokens)}
	}
	return own
}

// Return gives back the token of a granted request that no server ran. It does not wait.
func (k *Keeper) Return(workspace *model.Workspace, d quota.Decision) {
	if d.Outcome != quota.Granted || !workspace.Quota.Limited() {
		return
	}
	k.cfg.Metrics.QuotaTokens(telemetry.QuotaReturned, 1)
	if k.table.AddReturn(workspace.Name, d.Asked, k.cfg.Now()) {
		k.startSettlement(workspace.Name)
	}
}
