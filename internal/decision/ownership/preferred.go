package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// preferredShare is the part of a zone's capacity that its preferred members have together. They serve the zone's share of
	// all fan-outs; with fewer members each server's connections and latency estimates are in use more often.
	preferredShare = 0.25
	// minPreferred is the smallest number of preferred members, so that the loss of one leaves others.
	minPreferred = 3
)

// Preferred returns the members of a zone to which other daemons should send work for the zone: those of the largest capacity
// that have together preferredShare of the zone's capacity, and at least minPreferred. All daemons with the same list choose
// the same members, and when one of them leaves, the others stay preferred. The result is sorted by instance, as members is.
func Preferred(members []model.Member) []model.Member {
	if len(members) <= minPreferred {
		return members
	}
	usual := meanCapacity(members)
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b model.Member) int {
		return cmp.Or(
			cmp.Compare(capacityOr(&b, usual), capacityOr(&a, usual)),
			// Among equals the order is random, so that neighbouring zones do not prefer the same names.
			cmp.Compare(xxhash.Sum64String(string(b.Instance)), xxhash.Sum64String(string(a.Instance))),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	needed := preferredShare * usual * float64(len(members))
	n, sum := 0, 0.0
	for n < len(order) && (n < minPreferred || sum < needed) {
		sum += capacityOr(&order[n], usual)
		n++
	}
	preferred := order[:n]
	slices.SortFunc(preferred, func(a, b model.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return preferred
}

// meanCapacity returns the mean of the stated capacities, or 1 if no member states one.
func meanCapacity(members []model.Member) float64 {
	sum, stated := 0.0, 0
	for i := range members {
		if c := members[i].Capacity; c > 0 {
			sum += c
			stated++
		}
	}
	if stated == 0 {
		return 1
	}
	return sum / float64(stated)
}

// capacityOr returns the capacity of a member, or usual if it states none.
func capacityOr(m *model.Member, usual float64) float64 {
	if m.Capacity > 0 {
		return m.Capacity
	}
	return usual
}
