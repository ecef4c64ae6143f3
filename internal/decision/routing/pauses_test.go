package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/routing"
)

// replica simulates a server of a shard as one daemon observes it. It replies after its usual latency, plus the rest of a
// pause that it is in.
type replica struct {
	locality routing.Locality
	usual    time.Duration
	// phase shifts the start of its pauses, which last pauseDuration and begin every pauseInterval.
	phase     time.Duration
	estimator routing.LatencyEstimator
}

const (
	pauseDuration = 200 * time.Millisecond
	pauseInterval = 4500 * time.Millisecond
)

func (r *replica) latencyAt(at time.Duration) time.Duration {
	if elapsed := (at + r.phase) % pauseInterval; elapsed < pauseDuration {
		return r.usual + pauseDuration - elapsed
	}
	return r.usual
}

// simulateRequests sends requests at random intervals with the given mean to the replicas that routing.Choose returns. It
// returns the fraction that went to another region and the fraction that hit a pause.
func simulateRequests(replicas []*replica, interval time.Duration, rnd *rand.Rand) (distant, paused float64) {
	const requests = 3000
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := time.Duration(0)
	for range requests {
		at += time.Duration(rnd.ExpFloat64() * float64(interval))
		candidates := make([]routing.Candidate, len(replicas))
		for i, r := range replicas {
			candidates[i] = routing.Candidate{
				Usable: true, Locality: r.locality, Limit: 4, Slots: 2, RampUpFraction: 1, Latency: r.estimator.Estimate(r.usual, start.Add(at)),
			}
		}
		chosen, _ := routing.Choose(candidates, rnd)
		r := replicas[chosen]
		observed := r.latencyAt(at)
		r.estimator.Observe(observed, r.usual, start.Add(at+observed))
		if r.locality == routing.OtherRegion {
			distant++
		}
		if observed > r.usual {
			paused++
		}
	}
	return distant / requests, paused / requests
}

var _ = DescribeTable("requests leave a server that pauses for other replicas only during the pause",
	// Guards against requests that go to another region for seconds after each pause and all pay its round-trip time.
	func(interval time.Duration, distant int) {
		rnd := rand.New(rand.NewPCG(1, 2))
		replicas := []*replica{{locality: routing.SameRegion, usual: 20 * time.Millisecond}}
		for i := range distant {
			replicas = append(replicas, &replica{
				locality: routing.OtherRegion, usual: 45 * time.Millisecond, phase: time.Duration(i+1) * time.Second,
			})
		}
		crossRegion, paused := simulateRequests(replicas, interval, rnd)
		Expect(crossRegion).To(BeNumerically("<", 0.08))
		Expect(paused).To(BeNumerically("<", 0.07))
	},
	Entry("one request per 200 ms, one distant replica", 200*time.Millisecond, 1),
	Entry("one request per 200 ms, two distant replicas", 200*time.Millisecond, 2),
	Entry("one request per 2 s, one distant replica", 2*time.Second, 1),
	Entry("one request per 2 s, two distant replicas", 2*time.Second, 2),
	Entry("one request per 10 s, two distant replicas", 10*time.Second, 2),
)
