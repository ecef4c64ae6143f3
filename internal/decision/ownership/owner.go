package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandersill.example/oleandersill/internal/model"
)

// Owner returns the index of the member that owns the server, by rendezvous hashing, or -1 without members. When a
// member joins or leaves, only the servers that it owns change hands.
func Owner(server model.ServerName, members []model.Member) int {
	best, bestWeight := -1, uint64(0)
	seed := xxhash.Sum64String(string(server))
	for i := range members {
		w := mix(seed ^ xxhash.Sum64String(string(members[i].Instance)))
		if best < 0 || w > bestWeight || (w == bestWeight && members[i].Instance < members[best].Instance) {
			best, bestWeight = i, w
		}
	}
	return best
}

// mix is the finalizer of a 64-bit hash; it makes the weights of one server independent of those of another.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Gatherers returns the indices of at most k members that send the sub-requests of one query, by rendezvous hashing of the
// query's key, so that queries spread over the members.
func Gatherers(key string, members []model.Member, k int) []int {
	if k <= 0 || len(members) == 0 {
		return nil
	}
	seed := xxhash.Sum64String(key)
	chosen := make([]int, len(members))
	weights := make([]uint64, len(members))
	for i := range members {
		chosen[i] = i
		weights[i] = mix(seed ^ xxhash.Sum64String(string(members[i].Instance)))
	}
	slices.SortFunc(chosen, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return chosen[:min(k, len(chosen))]
}
