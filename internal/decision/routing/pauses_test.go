package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/routing"
)

// replica is a server of a shard as one daemon sees it: it takes its usual time, or what is left of a pause if that is longer.
type replica struct {
	place routing.Locality
	usual time.Duration
	// phase shifts its pauses, which last pauseLength and come each pauseInterval.
	phase   time.Duration
	latency routing.LatencyEstimator
}

const (
	pauseLength   = 200 * time.Millisecond
	pauseInterval = 4500 * time.Millisecond
)

func (r *replica) takes(at time.Duration) time.Duration {
	if into := (at + r.phase) % pauseInterval; into < pauseLength {
		return r.usual + pauseLength - into
	}
	return r.usual
}

// playRequests sends requests at random intervals of the given mean, each to the replica that routing chooses, and returns
// the share that went to another region and the share that met a pause.
func playRequests(replicas []*replica, interval time.Duration, rnd *rand.Rand) (distant, paused float64) {
	const requests = 3000
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := time.Duration(0)
	for range requests {
		at += time.Duration(rnd.ExpFloat64() * float64(interval))
		cs := make([]routing.Candidate, len(replicas))
		for i, r := range replicas {
			cs[i] = routing.Candidate{
				Usable: true, Locality: r.place, Limit: 4, Slots: 2, RampUpFraction: 1, Latency: r.latency.Estimate(r.usual, start.Add(at)),
			}
		}
		chosen, _ := routing.Choose(cs, rnd)
		r := replicas[chosen]
		took := r.takes(at)
		r.latency.Observe(took, r.usual, start.Add(at+took))
		if r.place == routing.OtherRegion {
			distant++
		}
		if took > r.usual {
			paused++
		}
	}
	return distant / requests, paused / requests
}

var _ = DescribeTable("servers that pause are left for others only while they pause",
	// Guards against requests that cross regions for seconds after each pause, which costs all of them the distance.
	func(interval time.Duration, distant int) {
		rnd := rand.New(rand.NewPCG(1, 2))
		replicas := []*replica{{place: routing.SameRegion, usual: 20 * time.Millisecond}}
		for i := range distant {
			replicas = append(replicas, &replica{
				place: routing.OtherRegion, usual: 45 * time.Millisecond, phase: time.Duration(i+1) * time.Second,
			})
		}
		elsewhere, paused := playRequests(replicas, interval, rnd)
		Expect(elsewhere).To(BeNumerically("<", 0.08))
		Expect(paused).To(BeNumerically("<", 0.07))
	},
	Entry("asked five times a second, one distant replica", 200*time.Millisecond, 1),
	Entry("asked five times a second, two distant replicas", 200*time.Millisecond, 2),
	Entry("asked every two seconds, one distant replica", 2*time.Second, 1),
	Entry("asked every two seconds, two distant replicas", 2*time.Second, 2),
	Entry("asked every ten seconds, two distant replicas", 10*time.Second, 2),
)
