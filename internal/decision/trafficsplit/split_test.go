package trafficsplit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/trafficsplit"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestTrafficSplit(t *testing.T) { suite.Run(t, "./internal/decision/trafficsplit") }

var _ = Describe("Part", func() {
	It("keeps the share of each part within 0.05 of its weight over 200 requests", func() {
		// Guards against a daemon with little traffic that sends all its requests to one part.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			weights := rapid.SliceOfN(rapid.IntRange(0, 9), 2, 4).Draw(t, "weights")
			var parts []model.WeightedService
			total := 0
			for _, w := range weights {
				parts = append(parts, model.WeightedService{Weight: float64(w)})
				total += w
			}
			if total == 0 {
				return
			}
			from := rapid.Uint64().Draw(t, "from")
			const requests = 200
			counts := make([]int, len(parts))
			for n := range uint64(requests) {
				counts[trafficsplit.Part(parts, from+n)]++
			}
			for i, w := range weights {
				share := float64(counts[i]) / requests
				if want := float64(w) / float64(total); share < want-0.05 || share > want+0.05 {
					t.Fatalf("part %d of the weights %v got a share of %.3f", i, weights, share)
				}
			}
		})
	})

	It("returns -1 without positive weights", func() {
		// Guards against requests that go to a part with weight 0.
		Expect(trafficsplit.Part([]model.WeightedService{{Weight: 0}}, 1)).To(Equal(-1))
		Expect(trafficsplit.Part(nil, 1)).To(Equal(-1))
	})
})
