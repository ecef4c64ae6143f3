package spread

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandersill.example/oleandersill/internal/model"
)

// RelaysPerZone is the number of daemons of a zone that watch the store.
const RelaysPerZone = 2

// IsRelay tells whether self is one of its zone's relays: fewer than RelaysPerZone of the zone's other members are alive
// and come before it by rendezvous hash. Daemons with differing views may disagree; every view has a relay, because
// self counts as alive.
func IsRelay(self model.Member, known []KnownMember, now time.Time) bool {
	own := weight(self.Zone, self.Instance)
	before := 0
	for i := range known {
		k := &known[i]
		if k.Zone != self.Zone || k.Liveness(now) != Alive {
			continue
		}
		if w := weight(k.Zone, k.Instance); w > own || (w == own && k.Instance < self.Instance) {
			before++
		}
	}
	return before < RelaysPerZone
}

// A daemon that is no relay reads the store itself once nobody that it hears of has reached the store for probeAfter, in
// one of probeOneIn seconds. This covers relays that are cut off from the platform while others are not; during an
// outage 5,600 daemons make 93 calls a second of it.
const (
	probeAfter = time.Minute
	probeOneIn = 60
)

// ShouldReadStore tells whether a daemon that is no relay reads the store at now, if it asks once a second.
func ShouldReadStore(lastContact, now time.Time, rnd *rand.Rand) bool {
	return now.Sub(lastContact) > probeAfter && rnd.IntN(probeOneIn) == 0
}

// weight is the rendezvous weight of an instance in its zone; the highest comes first.
func weight(zone model.AvailabilityZone, instance model.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(zone))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}
