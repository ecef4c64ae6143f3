package budget

import "time"

// buckets divides the window; the ratio holds over any window to within one bucket.
const buckets = 20

// Window allows extra attempts up to a ratio of the sub-requests of the last span. Create it with NewWindow. It is not
// safe for concurrent use.
type Window struct {
	ratio  float64
	width  time.Duration
	origin time.Time
	// slot is the number of the newest bucket since origin.
	slot   int64
	base   [buckets]int
	extra  [buckets]int
	baseN  int
	extraN int
}

// NewWindow returns a budget of ratio extras per sub-request over any span.
func NewWindow(ratio float64, span time.Duration, now time.Time) Window {
	return Window{ratio: ratio, width: max(1, span/buckets), origin: now}
}

// OnRequest counts one sub-request.
func (w *Window) OnRequest(now time.Time) {
	w.advance(now)
	w.base[w.slot%buckets]++
	w.baseN++
}

// Spend counts one extra attempt if the budget allows it, and tells whether it does.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	if float64(w.extraN+1) > w.ratio*float64(w.baseN) {
		return false
	}
	w.extra[w.slot%buckets]++
	w.extraN++
	return true
}

func (w *Window) advance(now time.Time) {
	target := int64(now.Sub(w.origin) / w.width)
	if target-w.slot >= buckets {
		w.base, w.extra = [buckets]int{}, [buckets]int{}
		w.baseN, w.extraN = 0, 0
		w.slot = target
		return
	}
	for w.slot < target {
		w.slot++
		i := w.slot % buckets
		w.baseN -= w.base[i]
		w.extraN -= w.extra[i]
		w.base[i], w.extra[i] = 0, 0
	}
}
