package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Quotas holds the accounts of workspaces with a quota: the token buckets that this daemon owns, the requests that it admitted as an
// agent and has not settled, and the callers that wait for tokens. It also holds what the daemon knows about which part of a quota it
// may grant. An account exists only while it differs from a new one, so the size of the table is bounded by the workspaces in use.
// Owner: command/quota.
type Quotas struct {
	mu    lockorder.Mutex
	reach quota.Reach
	owned map[model.WorkspaceName]*ownedQuota
	// share is reused between calls.
	share  quota.Share
	agents map[model.WorkspaceName]*agentQuota
	rounds map[model.WorkspaceName]*quotaRound
	// placements caches the placement of workspaces among the members and those of the region.
	placements map[model.WorkspaceName]*quota.Placement
	members    []model.Member
	inRegion   []model.Member
	region     []model.AvailabilityZone
	// regionSince is when the members of the region, or which of them are avoided, last changed.
	regionSince time.Time
	// avoided holds until when members that did not respond are not used.
	avoided map[model.InstanceID]time.Time
	// checking holds the zones and members of which an answer is awaited.
	checking map[string]bool
}

// ownedQuota is the account of a workspace of which this daemon may be the owner.
type ownedQuota struct {
	bucket   quota.Bucket
	limit    model.Quota
	standing quota.Standing
	// higher holds the members that rank higher; it is valid for the version reachVersion.
	higher       []model.Member
	reachVersion uint64
	lastUsed     time.Time
}

// NewQuotas returns a table without accounts, for a process that runs at now. region lists the zones of its region.
func NewQuotas(self model.Member, region []model.AvailabilityZone, now time.Time) *Quotas {
	return &Quotas{
		mu: lockorder.New(OrderQuotas), reach: quota.NewReach(self, now), region: region, regionSince: now,
		owned:  map[model.WorkspaceName]*ownedQuota{},
		agents: map[model.WorkspaceName]*agentQuota{}, rounds: map[model.WorkspaceName]*quotaRound{},
		placements: map[model.WorkspaceName]*quota.Placement{}, avoided: map[model.InstanceID]time.Time{},
		checking: map[string]bool{},
	}
}

// QuotaRequest asks the owner of a workspace for tokens and returns those whose requests were not run.
type QuotaRequest struct {
	Workspace model.WorkspaceName
	Limit     model.Quota
	Tokens    int
	Returned  int
	// ReturnedAge is the time since the returned tokens were granted, or longer.
	ReturnedAge time.Duration
}

// QuotaGrant is the owner's answer.
type QuotaGrant struct {
	Standing quota.Standing
	Granted  int
	// RetryAfter is the time until the next token of an owner that granted fewer than it was asked for, or until a daemon that is
	// taking over will grant some.
	RetryAfter time.Duration
	// Changed means that the daemon had another standing when it was last asked.
	Changed bool
}

// Grant answers a request as the owner of the workspace, if this daemon is it.
func (t *Quotas) Grant(req *QuotaRequest, now time.Time) QuotaGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.owned[req.Workspace]
	if a == nil {
		a = &ownedQuota{}
		t.owned[req.Workspace] = a
	}
	a.limit, a.lastUsed = req.Limit, now
	g := QuotaGrant{}
	g.Standing, g.RetryAfter = t.shareOf(req.Workspace, a, now)
	g.Changed = g.Standing != a.standing
	a.standing = g.Standing
	if g.Standing != quota.Owner {
		return g
	}
	if req.Returned > 0 {
		a.bucket.Return(req.Returned, req.ReturnedAge, a.limit, t.share, now)
	}
	g.Granted, g.RetryAfter = a.bucket.Take(req.Tokens, a.limit, t.share, now)
	return g
}

// shareOf sets t.share to the parts of the account's quota that this daemon may grant. The caller holds t.mu.
func (t *Quotas) shareOf(workspace model.WorkspaceName, a *ownedQuota, now time.Time) (quota.Standing, time.Duration) {
	if version := t.reach.Version(); a.reachVersion != version {
		a.reachVersion = version
		a.higher = quota.Higher(workspace, t.reach.Self(), t.reach.Candidates())
	}
	var standing quota.Standing
	var wait time.Duration
	standing, t.share, wait = t.reach.Share(t.share[:0], a.higher, now)
	return standing, wait
}

const (
	// quotaIdle is how long an account is kept at least after its last use.
	quotaIdle = 10 * time.Second
	// maxQuotaRemovals bounds how many accounts one call of RemoveIdle examines, and so how long it holds the lock.
	maxQuotaRemovals = 256
)

// RemoveIdle removes accounts that are not in use and do not differ from new ones.
func (t *Quotas) RemoveIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	examined := 0
	for name, a := range t.owned {
		if examined++; examined > maxQuotaRemovals {
			break
		}
		if now.Sub(a.lastUsed) < quotaIdle {
			continue
		}
		if standing, _ := t.shareOf(name, a, now); standing != quota.Owner || a.bucket.Full(a.limit, t.share, now) {
			delete(t.owned, name)
		}
	}
	for name, a := range t.agents {
		if now.Sub(a.lastUsed) >= quotaIdle && a.credit.Debt() == 0 && a.returned == 0 && !a.settling {
			delete(t.agents, name)
		}
	}
	for id, until := range t.avoided {
		if !now.Before(until) {
			delete(t.avoided, id)
		}
	}
}

// Accounts returns the number of accounts of all kinds.
func (t *Quotas) Accounts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.owned) + len(t.agents) + len(t.rounds)
}
