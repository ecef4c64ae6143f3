package quota

import (
	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// HandleTake admits requests of another daemon of the region. It refuses if this daemon is in another region or has no quota for the
// workspace. A daemon that is not the agent by its own knowledge has no overdraft, so that the sender asks the owner.
func (k *Keeper) HandleTake(t *peer.QuotaTake) peer.QuotaAdmitted {
	now := k.cfg.Now()
	limit, _ := k.limitOf(t.Workspace)
	if t.Region != k.cfg.Region || !limit.Limited() || t.Tokens <= 0 {
		return peer.QuotaAdmitted{Refused: true}
	}
	choice := k.table.Choose(t.Workspace, k.cfg.Unreachable, now)
	if !choice.Agents.First(k.cfg.Self.Instance) {
		return peer.QuotaAdmitted{Empty: k.table.Empty(t.Workspace, now)}
	}
	a := k.admit(t.Workspace, t.Tokens, now)
	return peer.QuotaAdmitted{Admitted: a.Admitted, Empty: a.Empty}
}

// HandleSettle grants tokens as the owner of the workspace.
func (k *Keeper) HandleSettle(s *peer.QuotaSettle) peer.QuotaSettled {
	limit, _ := k.limitOf(s.Workspace)
	if !limit.Limited() {
		return peer.QuotaSettled{Standing: quota.NotKnown}
	}
	g := k.table.Grant(&tables.QuotaRequest{
		Workspace: s.Workspace, Limit: limit, Tokens: max(0, s.Tokens), Returned: max(0, s.Returned), ReturnedAge: max(0, s.ReturnedAge),
	}, k.cfg.Now())
	k.logStanding(s.Workspace, &g)
	return peer.QuotaSettled{Standing: g.Standing, Granted: g.Granted, RetryAfter: g.RetryAfter}
}

// HandleConfirm answers another daemon that asks for this one's confirmation.
func (k *Keeper) HandleConfirm(q *peer.QuotaConfirm) quota.Confirmation {
	return k.table.Confirm(q.From, q.Lost, k.cfg.Now())
}

// logStanding logs a change of this daemon's standing for a workspace.
func (k *Keeper) logStanding(workspace model.WorkspaceName, g *tables.QuotaGrant) {
	if g.Changed {
		k.cfg.Log.Info().Str("workspace", string(workspace)).Str("standing", g.Standing.String()).
			Dur("wait", g.RetryAfter).Msg("quota_owner_changed")
	}
}
