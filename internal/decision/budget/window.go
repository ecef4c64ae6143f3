package budget

import "time"

// buckets is the number of buckets of a window. Sub-requests are counted over buckets-1 complete buckets and the current one,
// which is at most the window's length. Extras are counted over one bucket more, which is at least the window's length. The
// ratio therefore holds for every window that ends with an extra.
const (
	buckets      = 20
	extraBuckets = buckets + 1
)

// Window allows extra attempts up to a ratio of the sub-requests in a sliding window. Create it with NewWindow. It is not safe
// for concurrent use.
type Window struct {
	ratio       float64
	minExtras   int
	bucketWidth time.Duration
	origin      time.Time
	// current is the number of the current bucket, counted from origin.
	current int64
	// requests and extras hold the counts of each bucket; requestCount and extraCount are their sums.
	requests     [buckets]int
	extras       [extraBuckets]int
	requestCount int
	extraCount   int
}

// NewWindow returns a budget for windows of length span: ratio extras per sub-request, but at least minExtras extras.
func NewWindow(ratio float64, minExtras int, span time.Duration, now time.Time) Window {
	return Window{ratio: ratio, minExtras: minExtras, bucketWidth: max(1, span/buckets), origin: now}
}

// OnRequest counts one sub-request.
func (w *Window) OnRequest(now time.Time) {
	w.advance(now)
	w.requests[w.current%buckets]++
	w.requestCount++
}

// Spend counts one extra attempt and returns true if the budget allows it. fraction, in (0, 1], is the fraction of the ratio
// that the attempt may use; values below 1 reserve the rest for more important attempts.
func (w *Window) Spend(fraction float64, now time.Time) bool {
	w.advance(now)
	return w.spend(max(float64(w.minExtras), fraction*w.ratio*float64(w.requestCount)))
}

// spend counts one extra attempt and returns true unless the window would then hold more than allowed extras.
func (w *Window) spend(allowed float64) bool {
	if float64(w.extraCount+1) > allowed {
		return false
	}
	w.extras[w.current%extraBuckets]++
	w.extraCount++
	return true
}

// advance makes the bucket of now the current one and drops the counts of buckets that left the window.
func (w *Window) advance(now time.Time) {
	target := int64(now.Sub(w.origin) / w.bucketWidth)
	if target-w.current >= extraBuckets {
		w.requests, w.extras = [buckets]int{}, [extraBuckets]int{}
		w.requestCount, w.extraCount = 0, 0
		w.current = target
		return
	}
	for w.current < target {
		w.current++
		i, j := w.current%buckets, w.current%extraBuckets
		w.requestCount -= w.requests[i]
		w.extraCount -= w.extras[j]
		w.requests[i], w.extras[j] = 0, 0
	}
}
