package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxExchangeEntries bounds the membership entries of an exchange, half of them in each direction.
const MaxExchangeEntries = 64

// Places in a digest: the zone's first members by rendezvous hash, whose liveness decides who watches the store; the
// zone's members heard of last; and random members for the rest.
const (
	entriesPerDigest = MaxExchangeEntries / 2
	relayEntries     = 4
	recentEntries    = 12
)

// DigestEntries returns the members to tell a peer of, at most digestEntries and none of them dead.
func DigestEntries(self model.Member, known []KnownMember, now time.Time, rnd *rand.Rand) []model.Sighting {
	zone := make([]*KnownMember, 0, len(known))
	for i := range known {
		if k := &known[i]; k.Zone == self.Zone && k.Liveness(now) != Dead {
			zone = append(zone, k)
		}
	}
	chosen := make(map[model.InstanceID]bool, entriesPerDigest)
	out := make([]*KnownMember, 0, entriesPerDigest)
	take := func(ms []*KnownMember, n int) {
		for _, k := range ms {
			if n == 0 {
				return
			}
			if !chosen[k.Instance] {
				chosen[k.Instance] = true
				out = append(out, k)
				n--
			}
		}
	}
	take(firstByWeight(zone, relayEntries), relayEntries)
	slices.SortFunc(zone, func(a, b *KnownMember) int { return b.LastSeen.Compare(a.LastSeen) })
	take(zone, recentEntries)
	rest := newSample[*KnownMember](entriesPerDigest - len(out))
	for i := range known {
		if k := &known[i]; !chosen[k.Instance] && k.Liveness(now) != Dead {
			rest.add(k, rnd)
		}
	}
	return sightings(append(out, rest.taken...), now)
}

func sightings(members []*KnownMember, now time.Time) []model.Sighting {
	out := make([]model.Sighting, 0, len(members))
	for _, k := range members {
		out = append(out, model.Sighting{Member: k.Member, Silence: now.Sub(k.LastSeen)})
	}
	return out
}

// firstByWeight returns the n members of highest rendezvous weight.
func firstByWeight(zone []*KnownMember, n int) []*KnownMember {
	type weighed struct {
		known  *KnownMember
		weight uint64
	}
	all := make([]weighed, 0, len(zone))
	for _, k := range zone {
		all = append(all, weighed{known: k, weight: weight(k.Zone, k.Instance)})
	}
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*KnownMember, 0, n)
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.known)
	}
	return out
}
