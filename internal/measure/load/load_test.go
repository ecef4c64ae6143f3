package load

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestLoad(t *testing.T) { suite.Run(t, "./internal/measure/load") }

var _ = Describe("open-loop load", func() {
	stream := func(r model.Rank, rate float64) Stream {
		return Stream{Rank: r, Rate: rate, Callers: []model.CallerName{"c"}, To: 10 * time.Second}
	}

	// Guards against comparing the latencies of a rank under a flood with those of other arrivals.
	It("draws the same arrivals for a rank with and without a flood of another", func() {
		urgent := func(deferredRate float64) []time.Duration {
			var out []time.Duration
			for _, a := range Schedule(7, []Stream{stream(model.RankUrgent, 50), stream(model.RankDeferred, deferredRate)}, 8) {
				if a.Rank == model.RankUrgent {
					out = append(out, a.At)
				}
			}
			return out
		}
		Expect(urgent(500)).To(Equal(urgent(50)))
		Expect(len(urgent(50))).To(BeNumerically("~", 500, 100))
	})

	// Guards against a load generator that becomes closed-loop, so that slow answers lower the offered load.
	It("counts late sends and keeps the schedule when the workers cannot keep up", func() {
		arrivals := []Arrival{{At: 0}, {At: time.Millisecond}, {At: 2 * time.Millisecond}}
		var l Lateness
		// With the virtual clock, no further send is late because the machine is busy.
		suite.InBubble(func() {
			l = Run(time.Now(), arrivals, 1, func(Arrival, time.Time) { time.Sleep(30 * time.Millisecond) })
		})
		Expect(l).To(Equal(Lateness{Late: 2, Max: 58 * time.Millisecond}))
	})
})
