package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxEntries bounds the membership entries of an exchange, half of them in each direction.
const MaxEntries = 64

// Places in a digest: the zone's first members by rendezvous hash, whose liveness decides who watches the store; the
// zone's members heard of last; and random members for the rest.
const (
	digestEntries = MaxEntries / 2
	relayEntries  = 4
	recentEntries = 12
)

// Entries returns the members to tell a peer of, at most digestEntries and none of them dead.
func Entries(self model.Member, known []Known, now time.Time, rnd *rand.Rand) []model.Sighting {
	zone := make([]*Known, 0, len(known))
	for i := range known {
		if k := &known[i]; k.Zone == self.Zone && k.Liveness(now) != Dead {
			zone = append(zone, k)
		}
	}
	chosen := make(map[model.InstanceID]bool, digestEntries)
	out := make([]*Known, 0, digestEntries)
	take := func(ms []*Known, n int) {
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
	slices.SortFunc(zone, func(a, b *Known) int { return b.Evidence.Compare(a.Evidence) })
	take(zone, recentEntries)
	rest := newSample[*Known](digestEntries - len(out))
	for i := range known {
		if k := &known[i]; !chosen[k.Instance] && k.Liveness(now) != Dead {
			rest.add(k, rnd)
		}
	}
	return sightings(append(out, rest.taken...), now)
}

func sightings(members []*Known, now time.Time) []model.Sighting {
	out := make([]model.Sighting, 0, len(members))
	for _, k := range members {
		out = append(out, model.Sighting{Member: k.Member, Silence: now.Sub(k.Evidence)})
	}
	return out
}

// firstByWeight returns the n members of highest rendezvous weight.
func firstByWeight(zone []*Known, n int) []*Known {
	type weighed struct {
		known  *Known
		weight uint64
	}
	all := make([]weighed, 0, len(zone))
	for _, k := range zone {
		all = append(all, weighed{known: k, weight: weight(k.Zone, k.Instance)})
	}
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*Known, 0, n)
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.known)
	}
	return out
}
