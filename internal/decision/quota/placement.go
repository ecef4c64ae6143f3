package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

// Owner returns the member that owns a workspace in a zone: the one of the zone's possible owners that ranks highest by rendezvous
// hashing. It returns false if inZone is empty. A member that does not respond stays the owner as long as it is a member, so that the
// zone's part is not granted twice.
func Owner(workspace model.WorkspaceName, inZone []model.Member) (model.Member, bool) {
	ranked := ownership.HighestRanked(string(workspace), inZone, 1)
	if len(ranked) == 0 {
		return model.Member{}, false
	}
	return inZone[ranked[0]], true
}

// Owners returns, by zone, the members that may own workspaces: the preferred ones of those that know quotas. They are strong and few, so
// that each daemon has connections to them in use.
func Owners(members []model.Member) map[model.AvailabilityZone][]model.Member {
	out := map[model.AvailabilityZone][]model.Member{}
	for i := range members {
		if members[i].Protocol >= model.ProtocolWorkspaces {
			out[members[i].Zone] = append(out[members[i].Zone], members[i])
		}
	}
	for zone, inZone := range out {
		slices.SortFunc(inZone, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
		out[zone] = ownership.Preferred(inZone)
	}
	return out
}

// AskingOrder returns the zones in the order in which a daemon asks them for tokens: its own zone, then those of its region, which are
// near, then the others. Within a region the order is random, so that requests do not all ask the same zone.
func AskingOrder(zones []model.ZoneSpec, own model.AvailabilityZone, region model.Region, rnd *rand.Rand) []model.AvailabilityZone {
	order := make([]model.AvailabilityZone, 0, len(zones))
	order = append(order, own)
	var distant []model.AvailabilityZone
	for _, i := range rnd.Perm(len(zones)) {
		switch z := zones[i]; {
		case z.Name == own:
		case z.Region == region:
			order = append(order, z.Name)
		default:
			distant = append(distant, z.Name)
		}
	}
	return append(order, distant...)
}
