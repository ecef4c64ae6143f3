package tables

import (
	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
)

// quotaRound is a round of messages that asks for the tokens of a workspace on behalf of all requests that wait for one. At most one
// round of a workspace is in progress; requests that arrive meanwhile wait for the next one.
type quotaRound struct {
	waiting []*QuotaWaiter
}

// QuotaWaiter is a request that waits for a token.
type QuotaWaiter struct {
	// Result receives one value: the decision, or the instruction to run the next round.
	Result chan QuotaResult
}

// QuotaResult is what a waiting request is told.
type QuotaResult struct {
	// Lead means that the request runs the next round, for itself too.
	Lead     bool
	Decision quota.Decision
}

// maxQuotaWaiters is the maximum number of requests of a workspace that wait for a token; a message asks for no more.
const maxQuotaWaiters = 1024

// JoinRound lets a request wait for the next round of a workspace. If none is in progress, the request leads it and waiter is nil.
// Without either, too many requests wait already.
func (t *Quotas) JoinRound(workspace model.WorkspaceName) (waiter *QuotaWaiter, leads bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rounds[workspace]
	if r == nil {
		t.rounds[workspace] = &quotaRound{}
		return nil, true
	}
	if len(r.waiting) >= maxQuotaWaiters {
		return nil, false
	}
	waiter = &QuotaWaiter{Result: make(chan QuotaResult, 1)}
	r.waiting = append(r.waiting, waiter)
	return waiter, false
}

// Collect returns the requests that wait for the round which the caller leads.
func (t *Quotas) Collect(workspace model.WorkspaceName) []*QuotaWaiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rounds[workspace]
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// EndRound ends a round. If requests arrived meanwhile, the first of them leads the next one.
func (t *Quotas) EndRound(workspace model.WorkspaceName) {
	next := t.nextLeader(workspace)
	if next != nil {
		next.Result <- QuotaResult{Lead: true}
	}
}

func (t *Quotas) nextLeader(workspace model.WorkspaceName) *QuotaWaiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rounds[workspace]
	if len(r.waiting) == 0 {
		delete(t.rounds, workspace)
		return nil
	}
	next := r.waiting[0]
	r.waiting = r.waiting[1:]
	return next
}
