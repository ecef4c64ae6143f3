package telemetry

import (
	"maps"
	"sync/atomic"
)

// family holds the series of one metric by their labels. A lookup takes no lock and allocates nothing. Adding a series
// copies the map, which happens once for each combination of labels.
type family[K comparable, S any] struct {
	series atomic.Pointer[map[K]S]
	create func(K) S
}

func newFamily[K comparable, S any](create func(K) S) *family[K, S] {
	f := &family[K, S]{create: create}
	f.series.Store(&map[K]S{})
	return f
}

// with returns the series with the given labels and creates it if needed.
func (f *family[K, S]) with(labels K) S {
	for {
		current := f.series.Load()
		if s, ok := (*current)[labels]; ok {
			return s
		}
		next := maps.Clone(*current)
		next[labels] = f.create(labels)
		if f.series.CompareAndSwap(current, &next) {
			return next[labels]
		}
	}
}
