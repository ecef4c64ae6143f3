package tables

import (
	"maps"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Quotas holds the token buckets of the workspaces that this daemon owns in its zone, the requests that wait for tokens, and what is
// known of the owners in all zones. An account exists only while it differs from a new one, so the size of the table is bounded by
// the workspaces in use. Owner: command/quota.
type Quotas struct {
	mu   lockorder.Mutex
	self model.Member
	// members holds the possible owners by zone, sorted by instance. owners caches the owners of workspaces among them.
	members map[model.AvailabilityZone][]model.Member
	owners  map[zonePart]model.Member
	// joinWait is how long after a change of the zone's members a daemon that has not heard of it may go on granting.
	joinWait time.Duration
	// ownedSince is the time from which this daemon grants the parts of workspaces that have no account yet. No other daemon grants
	// them after that time.
	ownedSince time.Time
	// former holds the zone's members before their last change, and formerSince the value that ownedSince then had: it still holds for
	// the workspaces that this daemon owned among them too.
	former      []model.Member
	formerSince time.Time
	accounts    map[model.WorkspaceName]*quotaAccount
	rounds      map[model.WorkspaceName]*quotaRound
	// emptyUntil holds when the owners that had no token will have one.
	emptyUntil map[zonePart]time.Time
	// avoided holds until when members that did not respond are not asked.
	avoided  map[model.InstanceID]time.Time
	lastTick time.Time
}

// zonePart identifies the part of a workspace's quota that belongs to a zone.
type zonePart struct {
	workspace model.WorkspaceName
	zone      model.AvailabilityZone
}

// quotaAccount is the account of a workspace that this daemon owns in its zone.
type quotaAccount struct {
	bucket   quota.Bucket
	part     quota.Part
	since    time.Time
	lastUsed time.Time
}

// maxQuotaPause is the longest pause of the process after which it still owns what it did. It is shorter than the time after which a
// daemon that does not renew its entry is no member any more.
const maxQuotaPause = 10 * time.Second

// NewQuotas returns a table without accounts, for a process that runs at now. For joinWait after the members of its zone changed, the
// daemon grants only the tokens with which it starts, since a previous owner that has not heard of the change may grant as well.
func NewQuotas(self model.Member, joinWait time.Duration, now time.Time) *Quotas {
	return &Quotas{
		mu: lockorder.New(OrderQuotas), self: self, joinWait: joinWait, ownedSince: now.Add(joinWait), lastTick: now,
		owners: map[zonePart]model.Member{}, accounts: map[model.WorkspaceName]*quotaAccount{},
		rounds: map[model.WorkspaceName]*quotaRound{}, emptyUntil: map[zonePart]time.Time{},
		avoided: map[model.InstanceID]time.Time{},
	}
}

// SetMembers replaces the possible owners, which must be sorted by instance in each zone. The accounts of workspaces that another
// member owns now are removed.
func (t *Quotas) SetMembers(members map[model.AvailabilityZone][]model.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.members[t.self.Zone]
	changed := !sameMembers(former, members[t.self.Zone])
	t.members = members
	clear(t.owners)
	if !changed {
		return
	}
	t.former, t.formerSince = former, t.ownedSince
	t.ownedSince = now.Add(t.joinWait)
	maps.DeleteFunc(t.accounts, func(w model.WorkspaceName, _ *quotaAccount) bool { return !t.owns(w) })
}

// Owner returns the owner of a workspace in a zone. It returns false if the zone has none, or if the owner did not respond lately.
func (t *Quotas) Owner(workspace model.WorkspaceName, zone model.AvailabilityZone, now time.Time) (model.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner := t.owner(workspace, zone)
	return owner, owner.Instance != "" && !now.Before(t.avoided[owner.Instance])
}

// owner returns the owner of a workspace in a zone, or the zero Member. The caller holds t.mu.
func (t *Quotas) owner(workspace model.WorkspaceName, zone model.AvailabilityZone) model.Member {
	part := zonePart{workspace: workspace, zone: zone}
	owner, cached := t.owners[part]
	if !cached {
		owner, _ = quota.Owner(workspace, t.members[zone])
		t.owners[part] = owner
	}
	return owner
}

// owns reports whether this daemon owns the workspace in its zone. The caller holds t.mu.
func (t *Quotas) owns(workspace model.WorkspaceName) bool {
	return t.owner(workspace, t.self.Zone).Instance == t.self.Instance
}

// Avoid excludes a member that did not respond until the given time.
func (t *Quotas) Avoid(m *model.Member, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoided[m.Instance] = until
}

// QuotaRequest asks the owner of a workspace in a zone for tokens and returns those whose requests were not run.
type QuotaRequest struct {
	Workspace model.WorkspaceName
	Tokens    int
	Returned  int
	// ReturnedAge is the time since the returned tokens were granted, or longer.
	ReturnedAge time.Duration
	// Part returns the zone's part of the quota for an owner of the given age.
	Part func(age time.Duration) quota.Part
}

// Grant answers a request as the owner of the workspace in this daemon's zone. next is the time until the next token, if it granted
// fewer than it was asked for. It returns false if this daemon does not own the workspace.
func (t *Quotas) Grant(req *QuotaRequest, now time.Time) (granted int, next time.Duration, owned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.owns(req.Workspace) {
		return 0, 0, false
	}
	a := t.accounts[req.Workspace]
	if a == nil {
		a = &quotaAccount{since: t.sinceOf(req.Workspace)}
		t.accounts[req.Workspace] = a
	}
	a.lastUsed = now
	a.part = req.Part(now.Sub(a.since))
	if req.Returned > 0 {
		a.bucket.Return(req.Returned, req.ReturnedAge, a.part, now)
	}
	granted, next = a.bucket.Take(req.Tokens, a.part, now)
	return granted, next, true
}

// sinceOf returns the time from which this daemon grants the part of a workspace that it owns. The caller holds t.mu.
func (t *Quotas) sinceOf(workspace model.WorkspaceName) time.Time {
	if owner, _ := quota.Owner(workspace, t.former); owner.Instance == t.self.Instance {
		return t.formerSince
	}
	return t.ownedSince
}

// Empty returns the time until the owner of the workspace in the zone has a token, as far as this daemon was told, or 0.
func (t *Quotas) Empty(workspace model.WorkspaceName, zone model.AvailabilityZone, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.emptyUntil[zonePart{workspace: workspace, zone: zone}].Sub(now))
}

// SetEmpty records that the owner of the workspace in the zone has no token until the given time.
func (t *Quotas) SetEmpty(workspace model.WorkspaceName, zone model.AvailabilityZone, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptyUntil[zonePart{workspace: workspace, zone: zone}] = until
}

// Tick records that the process runs, and reports whether it was paused for so long that it may have ceased to be a member. It then
// owns nothing from before.
func (t *Quotas) Tick(now time.Time) (paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused = now.Sub(t.lastTick) >= maxQuotaPause
	t.lastTick = now
	if paused {
		clear(t.accounts)
		t.former = nil
		t.ownedSince = now.Add(t.joinWait)
	}
	return paused
}

const (
	// quotaIdle is how long an account is kept at least after its last use.
	quotaIdle = 10 * time.Second
	// maxQuotaRemovals bounds how many accounts one call of RemoveIdle examines, and so how long it holds the lock.
	maxQuotaRemovals = 256
)

// RemoveIdle removes accounts that are not in use and do not differ from new ones, and what is no longer of use about owners.
func (t *Quotas) RemoveIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	examined := 0
	for name, a := range t.accounts {
		if examined++; examined > maxQuotaRemovals {
			break
		}
		if now.Sub(a.lastUsed) >= quotaIdle && now.Sub(t.ownedSince) >= quotaIdle && a.bucket.Full(a.part, now) {
			delete(t.accounts, name)
		}
	}
	maps.DeleteFunc(t.emptyUntil, func(_ zonePart, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(t.avoided, func(_ model.InstanceID, until time.Time) bool { return !now.Before(until) })
}
