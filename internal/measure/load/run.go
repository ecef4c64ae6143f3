package load

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/pool"
)

// LateThreshold is the delay beyond the intended send time from which a send counts as late.
const LateThreshold = 5 * time.Millisecond

// Lateness states how well the workers kept up with the schedule.
type Lateness struct {
	// Late counts the sends that began more than LateThreshold after their intended time.
	Late int
	// Max is the largest delay.
	Max time.Duration
}

// table is what the workers share: the next arrival, and how late sends began.
type table struct {
	mu       lockorder.Mutex
	arrivals []Arrival
	lateness Lateness
}

// take returns the next arrival, and false when there is none.
func (t *table) take() (Arrival, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.arrivals) == 0 {
		return Arrival{}, false
	}
	a := t.arrivals[0]
	t.arrivals = t.arrivals[1:]
	return a, true
}

func (t *table) record(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if delay > LateThreshold {
		t.lateness.Late++
	}
	t.lateness.Max = max(t.lateness.Max, delay)
}

// Run sends the arrivals, in order, from the given start on, and returns when all sends have returned. send gets the
// intended time, from which it measures latency.
func Run(start time.Time, arrivals []Arrival, workers int, send func(a Arrival, intended time.Time)) Lateness {
	t := &table{mu: lockorder.New(locks.OrderArrivals), arrivals: arrivals}
	p := pool.Start(workers, func() (func(), bool) {
		a, ok := t.take()
		return func() {
			intended := start.Add(a.At)
			time.Sleep(time.Until(intended))
			t.record(time.Since(intended))
			send(a, intended)
		}, ok
	})
	p.Wait()
	return t.lateness
}
