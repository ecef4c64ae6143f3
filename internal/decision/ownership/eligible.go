package ownership

import "oleandersill.example/oleandersill/internal/model"

// Requirements state which members may receive a request from another one, to gather its answer, or to send or be charged for its
// attempts. The zero value admits all members.
type Requirements struct {
	regions  model.Regions
	protocol model.Protocol
}

// RequirementsOf returns the requirements of a request. A nil policy has none.
func RequirementsOf(p *model.RequestPolicy) Requirements {
	if p == nil || !p.Restricted() {
		return Requirements{}
	}
	return Requirements{regions: p.Regions, protocol: model.ProtocolWorkspaces}
}

// Admit reports whether the member, which is in the given region, may receive the request.
func (r Requirements) Admit(m *model.Member, region model.Region) bool {
	return r.regions.Contains(region) && m.Protocol >= r.protocol
}

// Eligible returns those of a zone's members that may receive the request, in the same order. region is that of the zone.
func (r Requirements) Eligible(members []model.Member, region model.Region) []model.Member {
	if !r.regions.Contains(region) {
		return nil
	}
	n := 0
	for n < len(members) && r.Admit(&members[n], region) {
		n++
	}
	if n == len(members) {
		// The usual case needs no copy.
		return members
	}
	eligible := append([]model.Member(nil), members[:n]...)
	for i := n + 1; i < len(members); i++ {
		if r.Admit(&members[i], region) {
			eligible = append(eligible, members[i])
		}
	}
	return eligible
}
