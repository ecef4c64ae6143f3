// Package split divides the requests of a route among its parts by their weights.
package split

import (
	"math"

	"oleandersill.example/oleandersill/internal/model"
)

// Part returns the index of the part that gets the n-th request of a route, or -1 if there are no parts with a weight. A
// sequence of low discrepancy keeps each part's share close to its weight over short spans too.
func Part(parts []model.RoutePart, n uint64) int {
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

// period keeps the products of Part exact enough; the sequence starts again after it.
const period = 1 << 32
