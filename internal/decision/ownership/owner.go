package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandersill.example/oleandersill/internal/model"
)

// Owner returns the index of the member that owns the server by rendezvous hashing, or -1 if there are no members. When a
// member joins or leaves, only the servers that it owns change their owner.
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

// mix is the finalizer of 64-bit MurmurHash3. It makes the weights for one server independent of those for another.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// HighestRanked returns the indices of the k members, or of all if there are fewer, that rank highest for the key by
// rendezvous hashing, in descending order. This distributes the keys over the members.
func HighestRanked(key string, members []model.Member, k int) []int {
	if k <= 0 || len(members) == 0 {
		return nil
	}
	order := make([]int, len(members))
	weights := make([]uint64, len(members))
	for i := range members {
		order[i] = i
		weights[i] = weight(key, members[i].Instance)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(members[a].Instance, members[b].Instance))
	})
	return order[:min(k, len(order))]
}

// weight returns the weight by which HighestRanked ranks a member for the key. Among equal weights the lower name ranks higher.
func weight(key string, instance model.InstanceID) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(string(instance)))
}
