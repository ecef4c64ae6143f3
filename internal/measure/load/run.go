package load

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/pool"
)

// LateThreshold is the delay after the intended send time beyond which a send counts as late.
const LateThreshold = 5 * time.Millisecond

// Lateness shows how well the workers kept up with the schedule.
type Lateness struct {
	// Late counts the sends that began more than LateThreshold after their intended time.
	Late int
	// Max is the largest delay.
	Max time.Duration
}

// arrivalQueue is the state that the workers share: the remaining arrivals and the delays of sends so far.
type arrivalQueue struct {
	mu       lockorder.Mutex
	arrivals []Arrival
	lateness Lateness
}

// take removes and returns the next arrival, and false if there is none.
func (q *arrivalQueue) take() (Arrival, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.arrivals) == 0 {
		return Arrival{}, false
	}
	a := q.arrivals[0]
	q.arrivals = q.arrivals[1:]
	return a, true
}

func (q *arrivalQueue) record(delay time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if delay > LateThreshold {
		q.lateness.Late++
	}
	q.lateness.Max = max(q.lateness.Max, delay)
}

// Run sends the arrivals in order, relative to start, and returns once all calls of send have returned. intended is the
// scheduled send time; latencies must be measured from it so that they include the delay of a late send.
func Run(start time.Time, arrivals []Arrival, workers int, send func(a Arrival, intended time.Time)) Lateness {
	q := &arrivalQueue{mu: lockorder.New(locks.OrderArrivals), arrivals: arrivals}
	p := pool.Start(workers, func() (func(), bool) {
		a, ok := q.take()
		return func() {
			intended := start.Add(a.At)
			time.Sleep(time.Until(intended))
			q.record(time.Since(intended))
			send(a, intended)
		}, ok
	})
	p.Wait()
	return q.lateness
}
