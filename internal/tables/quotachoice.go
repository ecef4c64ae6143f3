package tables

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
)

// SetMembers replaces the members among which workspaces are distributed. They must know quotas and be sorted by instance.
func (t *Quotas) SetMembers(members []model.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.SetMembers(members, now)
	var inRegion []model.Member
	for i := range members {
		if slices.Contains(t.region, members[i].Zone) {
			inRegion = append(inRegion, members[i])
		}
	}
	if !sameMembers(inRegion, t.inRegion) {
		t.regionSince = now
	}
	t.members, t.inRegion = members, inRegion
	clear(t.placements)
}

// QuotaChoice lists the first and the second choice for the owner and for the agent of a workspace.
type QuotaChoice struct {
	Owners quota.Choices
	Agents quota.Choices
}

// Choose returns the owners and agents of a workspace, without those that did not respond and those in unreachable zones.
// unreachable must not take locks.
func (t *Quotas) Choose(workspace model.WorkspaceName, unreachable func(model.AvailabilityZone) bool, now time.Time) QuotaChoice {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.place(workspace)
	excluded := func(m *model.Member) bool {
		return now.Before(t.avoided[m.Instance]) || (m.Instance != t.reach.Self() && unreachable(m.Zone))
	}
	c := QuotaChoice{Owners: quota.FirstTwo(p.Owners, excluded), Agents: quota.FirstTwo(p.Agents, excluded)}
	if c.Owners[1] == nil && len(p.Owners) < len(t.members) {
		reachable := slices.DeleteFunc(slices.Clone(t.members), func(m model.Member) bool { return excluded(&m) })
		c.Owners = quota.FirstTwo(quota.Place(workspace, reachable, nil).Owners, excluded)
	}
	return c
}

// place returns the placement of a workspace. The caller holds t.mu.
func (t *Quotas) place(workspace model.WorkspaceName) *quota.Placement {
	p := t.placements[workspace]
	if p == nil {
		placed := quota.Place(workspace, t.members, t.inRegion)
		p = &placed
		t.placements[workspace] = p
	}
	return p
}

// RegionStable reports whether the members of the region have been the same for the given time, so that no earlier agent can have
// used the overdraft in that time.
func (t *Quotas) RegionStable(d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.regionSince) >= d
}

// Avoid excludes a member that did not respond from the choice of owners and agents until the given time.
func (t *Quotas) Avoid(m *model.Member, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoided[m.Instance] = until
	if slices.ContainsFunc(t.inRegion, func(other model.Member) bool { return other.Instance == m.Instance }) {
		t.regionSince = now
	}
}

// Reconsider ends the exclusion of the members that rank above one which replied that it does not own the workspace: it reaches one of
// them, or does not know yet that it does not.
func (t *Quotas) Reconsider(workspace model.WorkspaceName, replied model.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.place(workspace).Owners {
		if m.Instance == replied {
			return
		}
		delete(t.avoided, m.Instance)
	}
}
