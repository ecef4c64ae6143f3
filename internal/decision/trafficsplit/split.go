// Package trafficsplit distributes the requests of a route over its parts in proportion to their weights.
package trafficsplit

import (
	"math"

	"oleandersill.example/oleandersill/internal/model"
)

// Part returns the index of the part that gets the n-th request of a route, or -1 if no part has a positive weight. It
// uses a low-discrepancy sequence, which keeps each part's share close to its weight even over few requests.
func Part(parts []model.WeightedService, n uint64) int {
	total := 0.0
	for i := range parts {
		total += max(0, parts[i].Weight)
	}
	if total <= 0 {
		return -1
	}
	_, position := math.Modf(float64(n%period) * (math.Phi - 1))
	position *= total
	last := -1
	for i := range parts {
		w := max(0, parts[i].Weight)
		if w == 0 {
			continue
		}
		if position < w {
			return i
		}
		position -= w
		last = i
	}
	return last
}

// period is the number of requests after which the sequence of Part repeats. It bounds the product in Part so that its
// fractional part stays precise enough.
const period = 1 << 32
