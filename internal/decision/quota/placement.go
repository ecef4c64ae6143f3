package quota

import (
	"cmp"
	"slices"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

// choices is the number of members that are ranked for a workspace, so that a choice remains when some of them are excluded.
const choices = 8

// Placement lists the members that rank highest for a workspace, in descending order: those of the fleet, of which the first one that
// can be reached is the owner, and those of a region, of which the first one that can be reached is the agent.
type Placement struct {
	Owners []model.Member
	Agents []model.Member
}

// Place ranks the members for a workspace. inRegion holds the members of the region.
func Place(workspace model.WorkspaceName, fleet, inRegion []model.Member) Placement {
	return Placement{Owners: highest(workspace, fleet), Agents: highest(workspace, inRegion)}
}

func highest(workspace model.WorkspaceName, members []model.Member) []model.Member {
	ranked := ownership.HighestRanked(string(workspace), members, choices)
	out := make([]model.Member, len(ranked))
	for i, index := range ranked {
		out[i] = members[index]
	}
	return out
}

// Choices holds the first and the second choice among ranked members; nil where there is none.
type Choices [2]*model.Member

// First reports whether the instance is the first choice.
func (c *Choices) First(instance model.InstanceID) bool {
	return c[0] != nil && c[0].Instance == instance
}

// FirstTwo returns the first two of the ranked members that are not excluded.
func FirstTwo(ranked []model.Member, excluded func(*model.Member) bool) Choices {
	var out Choices
	n := 0
	for i := range ranked {
		if excluded(&ranked[i]) {
			continue
		}
		out[n] = &ranked[i]
		if n++; n == len(out) {
			break
		}
	}
	return out
}

// Higher returns the members that rank above self for the workspace. Each of them would own the workspace in place of self.
func Higher(workspace model.WorkspaceName, self model.InstanceID, members []model.Member) []model.Member {
	own := ownership.Weight(string(workspace), self)
	var out []model.Member
	for i := range members {
		m := &members[i]
		if m.Instance != self && compareRank(ownership.Weight(string(workspace), m.Instance), m.Instance, own, self) > 0 {
			out = append(out, *m)
		}
	}
	return out
}

// compareRank orders two members by weight and then by name, as ownership.HighestRanked does.
func compareRank(weight uint64, name model.InstanceID, otherWeight uint64, other model.InstanceID) int {
	return cmp.Or(cmp.Compare(weight, otherWeight), cmp.Compare(other, name))
}

// Eligible returns the members that know quotas, sorted by instance.
func Eligible(members []model.Member) []model.Member {
	out := make([]model.Member, 0, len(members))
	for i := range members {
		if members[i].Protocol >= model.ProtocolWorkspaces {
			out = append(out, members[i])
		}
	}
	slices.SortFunc(out, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}
