package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxExchangeEntries bounds the number of membership entries in a digest exchange, half of them in each direction.
const MaxExchangeEntries = 64

// Numbers of entries in a digest: relayEntries for the zone's highest-ranked members by rendezvous hash, whose liveness decides
// which daemons watch the store, then recentEntries for the zone's members seen most recently. Random members get the
// remaining entries.
const (
	entriesPerDigest = MaxExchangeEntries / 2
	relayEntries     = 4
	recentEntries    = 12
)

// DigestEntries returns the members to include in a digest, at most entriesPerDigest and none of them dead.
func DigestEntries(self model.Member, known []KnownMember, now time.Time, rnd *rand.Rand) []model.MemberReport {
	zone := make([]*KnownMember, 0, len(known))
	for i := range known {
		if k := &known[i]; k.Zone == self.Zone && k.Liveness(now) != Dead {
			zone = append(zone, k)
		}
	}
	chosen := make(map[model.InstanceID]bool, entriesPerDigest)
	out := make([]*KnownMember, 0, entriesPerDigest)
	add := func(members []*KnownMember, n int) {
		for _, k := range members {
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
	add(firstByWeight(zone, relayEntries), relayEntries)
	slices.SortFunc(zone, func(a, b *KnownMember) int { return b.LastSeen.Compare(a.LastSeen) })
	add(zone, recentEntries)
	others := newSample[*KnownMember](entriesPerDigest - len(out))
	for i := range known {
		if k := &known[i]; !chosen[k.Instance] && k.Liveness(now) != Dead {
			others.add(k, rnd)
		}
	}
	return reports(append(out, others.kept...), now)
}

func reports(members []*KnownMember, now time.Time) []model.MemberReport {
	out := make([]model.MemberReport, 0, len(members))
	for _, k := range members {
		out = append(out, model.MemberReport{Member: k.Member, Silence: now.Sub(k.LastSeen)})
	}
	return out
}

// firstByWeight returns the n members with the highest rendezvous weights.
func firstByWeight(zone []*KnownMember, n int) []*KnownMember {
	type weightedMember struct {
		member *KnownMember
		weight uint64
	}
	all := make([]weightedMember, 0, len(zone))
	for _, k := range zone {
		all = append(all, weightedMember{member: k, weight: weight(k.Zone, k.Instance)})
	}
	slices.SortFunc(all, func(a, b weightedMember) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*KnownMember, 0, n)
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.member)
	}
	return out
}
