package budget

import "time"

// buckets divides the window. Sub-requests are counted over buckets-1 whole buckets and the current one, which is at
// most the window; extras over one bucket more, which is at least the window. The ratio therefore holds over every
// window that ends with an extra.
const (
	buckets      = 20
	extraBuckets = buckets + 1
)

// Window allows extra attempts up to a ratio of the sub-requests of the last span. Create it with NewWindow. It is not
// safe for concurrent use.
type Window struct {
	ratio  float64
	floor  int
	width  time.Duration
	origin time.Time
	// slot is the number of the newest bucket since origin.
	slot   int64
	base   [buckets]int
	extra  [extraBuckets]int
	baseN  int
	extraN int
}

// NewWindow returns a budget of ratio extras per sub-request over any span, but of at least floor extras.
func NewWindow(ratio float64, floor int, span time.Duration, now time.Time) Window {
	return Window{ratio: ratio, floor: floor, width: max(1, span/buckets), origin: now}
}

// OnRequest counts one sub-request.
func (w *Window) OnRequest(now time.Time) {
	w.advance(now)
	w.base[w.slot%buckets]++
	w.baseN++
}

// Spend counts one extra attempt if the budget allows it, and tells whether it does. part, in (0, 1], is the part of the
// budget that the attempt may use, so that some is left for more important ones.
func (w *Window) Spend(part float64, now time.Time) bool {
	w.advance(now)
	return w.spend(max(float64(w.floor), part*w.ratio*float64(w.baseN)))
}

// spend counts one extra attempt unless there would be more than allowed.
func (w *Window) spend(allowed float64) bool {
	if float64(w.extraN+1) > allowed {
		return false
	}
	w.extra[w.slot%extraBuckets]++
	w.extraN++
	return true
}

func (w *Window) advance(now time.Time) {
	target := int64(now.Sub(w.origin) / w.width)
	if target-w.slot >= extraBuckets {
		w.base, w.extra = [buckets]int{}, [extraBuckets]int{}
		w.baseN, w.extraN = 0, 0
		w.slot = target
		return
	}
	for w.slot < target {
		w.slot++
		i, j := w.slot%buckets, w.slot%extraBuckets
		w.baseN -= w.base[i]
		w.extraN -= w.extra[j]
		w.base[i], w.extra[j] = 0, 0
	}
}
