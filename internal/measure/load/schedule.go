package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Stream is the load of one rank during part of a round.
type Stream struct {
	Rank model.Rank
	// Rate is in requests per second.
	Rate    float64
	Callers []model.CallerName
	// Command means that the requests are non-idempotent.
	Command bool
	// From and To are the start and the end of the stream within the round.
	From, To time.Duration
}

// Arrival is one request to send.
type Arrival struct {
	Number int
	// At is the intended send time, from the start of the round.
	At     time.Duration
	Rank   model.Rank
	Caller model.CallerName
	// Command means that the request is non-idempotent.
	Command bool
	// Target is the index of the daemon that the load balancer chooses.
	Target int
}

// Schedule draws Poisson arrivals for the streams, sorted by time. Each stream has its own random source, so that the
// arrivals of one rank are the same with and without a flood of another.
func Schedule(seed uint64, streams []Stream, targets int) []Arrival {
	var out []Arrival
	for i, s := range streams {
		rnd := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // arrivals need not be unpredictable
		out = append(out, s.arrivals(rnd, targets)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Number = i
	}
	return out
}

func (s Stream) arrivals(rnd *rand.Rand, targets int) []Arrival {
	if s.Rate <= 0 {
		return nil
	}
	var out []Arrival
	at := s.From
	for {
		at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.To {
			return out
		}
		out = append(out, Arrival{
			At:      at,
			Rank:    s.Rank,
			Caller:  s.Callers[rnd.IntN(len(s.Callers))],
			Command: s.Command,
			Target:  rnd.IntN(targets),
		})
	}
}
