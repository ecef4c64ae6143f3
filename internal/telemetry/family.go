package telemetry

import (
	"maps"
	"sync/atomic"
)

// family holds the series of one metric by their labels. Reads take no lock and allocate nothing; a new series copies
// the map, which happens once for each combination of labels.
type family[K comparable, S any] struct {
	series atomic.Pointer[map[K]S]
	create func(K) S
}

func newFamily[K comparable, S any](create func(K) S) *family[K, S] {
	f := &family[K, S]{create: create}
	f.series.Store(&map[K]S{})
	return f
}

func (f *family[K, S]) of(labels K) S {
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
