package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
)

// agentQuota is the account of a workspace of which this daemon is the agent, or whose tokens it returns.
type agentQuota struct {
	credit quota.CreditLine
	// settling means that a settlement with the owner is in progress or due.
	settling bool
	// returned is the number of tokens to be returned to the owner, and oldestReturn when the first of them was granted.
	returned     int
	oldestReturn time.Time
	lastUsed     time.Time
}

func (t *Quotas) agent(workspace model.WorkspaceName, now time.Time) *agentQuota {
	a := t.agents[workspace]
	if a == nil {
		a = &agentQuota{}
		t.agents[workspace] = a
	}
	a.lastUsed = now
	return a
}

// Admission is the result of Quotas.Admit.
type Admission struct {
	Admitted int
	// Empty is the time until the owner has a token, or 0 if it may have one now.
	Empty time.Duration
	// Settle means that the caller must start a settlement of the workspace.
	Settle bool
}

// Admit admits up to n requests before the owner granted them, within the overdraft.
func (t *Quotas) Admit(workspace model.WorkspaceName, n, overdraft int, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agent(workspace, now)
	var r Admission
	r.Admitted, r.Empty = a.credit.Admit(n, overdraft, now)
	r.Settle = a.beginSettlement()
	return r
}

// beginSettlement reports whether a settlement is to be started. At most one of a workspace is in progress.
func (a *agentQuota) beginSettlement() bool {
	if a.settling || (a.credit.Debt() == 0 && a.returned == 0) {
		return false
	}
	a.settling = true
	return true
}

// AddReturn records a token that was granted at the given time and whose request was not run. It reports whether the caller must
// start a settlement of the workspace.
func (t *Quotas) AddReturn(workspace model.WorkspaceName, granted, now time.Time) (settle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agent(workspace, now)
	if a.returned++; a.returned == 1 || granted.Before(a.oldestReturn) {
		a.oldestReturn = granted
	}
	return a.beginSettlement()
}

// Settlement returns what is to be settled with the owner. The returned tokens are sent once: those of a message that is lost are
// lost too.
func (t *Quotas) Settlement(workspace model.WorkspaceName, now time.Time) QuotaRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agent(workspace, now)
	req := QuotaRequest{Workspace: workspace, Tokens: a.credit.Debt(), Returned: a.returned}
	if a.returned > 0 {
		req.ReturnedAge = now.Sub(a.oldestReturn)
	}
	a.returned = 0
	return req
}

// EndSettlement records the tokens that the owner granted for the debt, and for how long it has no further ones. It reports whether
// the caller must start another settlement, after that time.
func (t *Quotas) EndSettlement(workspace model.WorkspaceName, granted int, empty time.Duration, now time.Time) (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agent(workspace, now)
	a.credit.Cover(granted)
	if empty > 0 {
		a.credit.SetEmpty(now.Add(empty))
	}
	a.settling = false
	return a.beginSettlement()
}

// CancelSettlement ends the settlement of a workspace that has no quota any longer, and forgets its debt.
func (t *Quotas) CancelSettlement(workspace model.WorkspaceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.agents, workspace)
}
