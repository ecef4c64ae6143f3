package quota

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// avoidFailed is how long a member that did not respond is not asked again.
const avoidFailed = 3 * time.Second

// round is one round of messages for the requests of a workspace that wait for tokens.
type round struct {
	k         *Keeper
	workspace *model.Workspace
	needed    int
	// admitted is the number of requests that the agent admitted, and granted the number that the owner granted.
	admitted int
	granted  int
	// by names who refused the others, with the time until the next token; "" if neither the agent nor the owner responded.
	by    string
	empty time.Duration
}

// ask asks the agent of the region, and the owner for what the agent did not admit, within the validity of a grant.
func (r *round) ask(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), r.k.validity)
	defer cancel()
	choice := r.k.table.Choose(r.workspace.Name, r.k.cfg.Unreachable, now)
	if !choice.Agents.First(r.k.cfg.Self.Instance) {
		r.askAgents(ctx, &choice.Agents)
	}
	if r.admitted >= r.needed || r.by != "" {
		return
	}
	settled := r.k.askOwner(ctx, &tables.QuotaRequest{
		Workspace: r.workspace.Name, Limit: r.workspace.Quota, Tokens: r.needed - r.admitted,
	})
	r.granted, r.empty = settled.Granted, settled.RetryAfter
	if settled.Standing == quota.Owner {
		r.by = quota.ByOwner
	}
	if r.by != "" && r.admitted+r.granted < r.needed {
		r.k.table.SetEmpty(r.workspace.Name, r.empty, r.k.cfg.Now())
	}
}

func (r *round) askAgents(ctx context.Context, agents *quota.Choices) {
	for i, agent := range agents {
		if agent == nil || agent.Instance == r.k.cfg.Self.Instance || r.k.cfg.Peers == nil {
			return
		}
		_, version := r.k.limitOf(r.workspace.Name)
		callCtx, cancel := attemptContext(ctx, i)
		a, err := r.k.cfg.Peers.TakeQuota(callCtx, agent.Address, peer.QuotaTake{
			Workspace: r.workspace.Name, Version: version, Region: r.k.cfg.Region, Tokens: r.needed,
		})
		cancel()
		if err != nil {
			r.k.avoid(agent)
			continue
		}
		if !a.Refused {
			r.admitted = min(a.Admitted, r.needed)
			if r.empty = a.Empty; a.Empty > 0 {
				r.by = quota.ByAgent
			}
			return
		}
	}
}

// decision returns the decision on one of the round's requests.
func (r *round) decision(granted bool) quota.Decision {
	switch {
	case granted && r.granted > 0:
		return quota.Decision{Outcome: quota.Granted, DecidedBy: quota.ByOwner}
	case granted:
		return quota.Decision{Outcome: quota.Granted, DecidedBy: quota.ByAgent}
	case r.by != "":
		return refusal(r.by, r.empty)
	default:
		return quota.Decision{Outcome: quota.Unavailable, RetryAfter: retryAfter(r.empty)}
	}
}

// attemptContext returns the context of a call to the first or the second choice. The first leaves time for the second.
func attemptContext(ctx context.Context, choice int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || choice > 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// askOwner asks the owner of the workspace, or the second choice if the first does not respond or does not own it. Without an answer
// of an owner the result has another standing.
func (k *Keeper) askOwner(ctx context.Context, req *tables.QuotaRequest) peer.QuotaSettled {
	now := k.cfg.Now()
	choice := k.table.Choose(req.Workspace, k.cfg.Unreachable, now)
	_, version := k.limitOf(req.Workspace)
	var last peer.QuotaSettled
	for i, owner := range choice.Owners {
		switch {
		case owner == nil:
			return last
		case owner.Instance == k.cfg.Self.Instance:
			g := k.table.Grant(req, k.cfg.Now())
			k.logStanding(req.Workspace, &g)
			last = peer.QuotaSettled{Standing: g.Standing, Granted: g.Granted, RetryAfter: g.RetryAfter}
		case k.cfg.Peers == nil:
			return last
		default:
			callCtx, cancel := attemptContext(ctx, i)
			reply, err := k.cfg.Peers.SettleQuota(callCtx, owner.Address, peer.QuotaSettle{
				Workspace: req.Workspace, Version: version, Tokens: req.Tokens, Returned: req.Returned, ReturnedAge: req.ReturnedAge,
			})
			cancel()
			if err != nil {
				k.avoid(owner)
				continue
			}
			last = reply
		}
		switch last.Standing {
		case quota.Owner, quota.TakingOver:
			return last
		case quota.NotOwner:
			k.table.Reconsider(req.Workspace, owner.Instance)
		case quota.NotKnown:
		}
	}
	return last
}

func (k *Keeper) avoid(m *model.Member) {
	now := k.cfg.Now()
	k.table.Avoid(m, now.Add(avoidFailed), now)
	k.cfg.Log.Info().Str("instance", string(m.Instance)).Msg("quota_member_avoided")
}
