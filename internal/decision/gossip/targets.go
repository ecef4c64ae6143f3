package gossip

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Numbers of peers that are notified of a new revision or a leaving server.
const (
	NoticesInZone      = 3
	NoticesOutsideZone = 1
)

// One in outsideOneIn digest exchanges goes to a member outside the zone, and one in deadOneIn to a member that counts as
// dead, so that daemons find each other again after a network partition.
const (
	outsideOneIn = 4
	deadOneIn    = 8
)

// NoticeTargets returns the peers to notify: random members that are not dead, at most NoticesInZone in self's zone and
// NoticesOutsideZone in other zones.
func NoticeTargets(self model.Member, known []KnownMember, now time.Time, rnd *rand.Rand) []model.Member {
	inside, outside := newSample[model.Member](NoticesInZone), newSample[model.Member](NoticesOutsideZone)
	for i := range known {
		k := &known[i]
		switch {
		case k.Liveness(now) == Dead:
		case k.Zone == self.Zone:
			inside.add(k.Member, rnd)
		default:
			outside.add(k.Member, rnd)
		}
	}
	return append(inside.kept, outside.kept...)
}

// ExchangePeer returns a random member to exchange digests with, or false if no member is known.
func ExchangePeer(self model.Member, known []KnownMember, now time.Time, rnd *rand.Rand) (model.Member, bool) {
	inside, outside, dead := newSample[model.Member](1), newSample[model.Member](1), newSample[model.Member](1)
	for i := range known {
		k := &known[i]
		switch {
		case k.Liveness(now) == Dead:
			dead.add(k.Member, rnd)
		case k.Zone == self.Zone:
			inside.add(k.Member, rnd)
		default:
			outside.add(k.Member, rnd)
		}
	}
	order := []sample[model.Member]{inside, outside, dead}
	if rnd.IntN(outsideOneIn) == 0 {
		order = []sample[model.Member]{outside, inside, dead}
	}
	if rnd.IntN(deadOneIn) == 0 {
		order = []sample[model.Member]{dead, inside, outside}
	}
	for _, s := range order {
		if len(s.kept) > 0 {
			return s.kept[0], true
		}
	}
	return model.Member{}, false
}

// sample is a uniform random sample of at most size of the values added, by reservoir sampling.
type sample[T any] struct {
	size int
	seen int
	kept []T
}

func newSample[T any](size int) sample[T] { return sample[T]{size: size} }

func (s *sample[T]) add(v T, rnd *rand.Rand) {
	s.seen++
	if len(s.kept) < s.size {
		s.kept = append(s.kept, v)
		return
	}
	if i := rnd.IntN(s.seen); i < s.size {
		s.kept[i] = v
	}
}
