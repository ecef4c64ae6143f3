package spread

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Peers that are told of a new revision or a leaving server.
const (
	NoticesInZone      = 3
	NoticesOutsideZone = 1
)

// One digest exchange in outsideOneIn goes outside the zone, and one in healingOneIn to a member that is silent, so that
// daemons find each other again after a partition.
const (
	outsideOneIn = 4
	healingOneIn = 8
)

// NoticeTargets returns the peers to tell: random members that are not dead, NoticesInZone of them in self's zone and
// NoticesOutside elsewhere.
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
	return append(inside.taken, outside.taken...)
}

// ExchangePeer returns the member to exchange digests with, or false if none is known.
func ExchangePeer(self model.Member, known []KnownMember, now time.Time, rnd *rand.Rand) (model.Member, bool) {
	inside, outside, silent := newSample[model.Member](1), newSample[model.Member](1), newSample[model.Member](1)
	for i := range known {
		k := &known[i]
		switch {
		case k.Liveness(now) == Dead:
			silent.add(k.Member, rnd)
		case k.Zone == self.Zone:
			inside.add(k.Member, rnd)
		default:
			outside.add(k.Member, rnd)
		}
	}
	order := []sample[model.Member]{inside, outside, silent}
	if rnd.IntN(outsideOneIn) == 0 {
		order = []sample[model.Member]{outside, inside, silent}
	}
	if rnd.IntN(healingOneIn) == 0 {
		order = []sample[model.Member]{silent, inside, outside}
	}
	for _, s := range order {
		if len(s.taken) > 0 {
			return s.taken[0], true
		}
	}
	return model.Member{}, false
}

// sample keeps a uniform random choice of at most size of the values added.
type sample[T any] struct {
	size  int
	seen  int
	taken []T
}

func newSample[T any](size int) sample[T] { return sample[T]{size: size} }

func (s *sample[T]) add(v T, rnd *rand.Rand) {
	s.seen++
	if len(s.taken) < s.size {
		s.taken = append(s.taken, v)
		return
	}
	if i := rnd.IntN(s.seen); i < s.size {
		s.taken[i] = v
	}
}
