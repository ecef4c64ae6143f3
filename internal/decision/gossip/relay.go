package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandersill.example/oleandersill/internal/model"
)

// RelaysPerZone is the number of daemons in a zone that watch the store.
const RelaysPerZone = 2

// IsRelay reports whether self is one of its zone's relays: fewer than RelaysPerZone of the zone's other live members
// rank higher by rendezvous hash. Daemons with different views of the members may disagree, but there is a relay in every
// view, because self counts as alive.
func IsRelay(self model.Member, known []KnownMember, now time.Time) bool {
	ownWeight := weight(self.Zone, self.Instance)
	higherRanked := 0
	for i := range known {
		k := &known[i]
		if k.Zone != self.Zone || k.Liveness(now) != Alive {
			continue
		}
		if w := weight(k.Zone, k.Instance); w > ownWeight || (w == ownWeight && k.Instance < self.Instance) {
			higherRanked++
		}
	}
	return higherRanked < RelaysPerZone
}

// A daemon that is not a relay reads the store itself with a probability of 1 in directReadOneIn per second once, as far
// as it knows, no daemon has reached the store for directReadAfter. This covers relays that cannot reach the platform
// while other daemons can. During an outage of the store 5,600 daemons make 93 such calls per second.
const (
	directReadAfter = time.Minute
	directReadOneIn = 60
)

// ShouldReadStore reports whether a daemon that is not a relay reads the store itself at now. It is called once a second.
// lastContact is when the store was last reached by any daemon, as far as this one knows.
func ShouldReadStore(lastContact, now time.Time, rnd *rand.Rand) bool {
	return now.Sub(lastContact) > directReadAfter && rnd.IntN(directReadOneIn) == 0
}

// weight returns the rendezvous weight of an instance in its zone. A higher weight ranks first.
func weight(zone model.AvailabilityZone, instance model.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(zone))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}
