package pool

import (
	"container/heap"
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
)

// Timer runs functions at given times. All of them run on one goroutine, so they must be short and must not block on I/O.
type Timer struct {
	mu   lockorder.Mutex
	heap entries
	// wake signals the goroutine that there is a new first entry.
	wake chan struct{}
	// stop is closed to end the goroutine, which closes stopped when it exits.
	stop    chan struct{}
	stopped chan struct{}
}

// TimerEntry is a function scheduled on a Timer.
type TimerEntry struct {
	at  time.Time
	run func()
	// index is the entry's position in the heap, or -1 if it is no longer in the heap.
	index int
}

// NewTimer starts a timer. order is the lock order of its mutex.
func NewTimer(order lockorder.Order) *Timer {
	t := &Timer{
		mu:      lockorder.New(order),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go t.loop()
	return t
}

// Schedule schedules f to run at the given time.
func (t *Timer) Schedule(at time.Time, f func()) *TimerEntry {
	e := &TimerEntry{at: at, run: f}
	t.mu.Lock()
	heap.Push(&t.heap, e)
	first := t.heap[0] == e
	t.mu.Unlock()
	if first {
		t.notify()
	}
	return e
}

// Cancel removes the entry if its function has not been started yet.
func (t *Timer) Cancel(e *TimerEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.index >= 0 && e.index < len(t.heap) && t.heap[e.index] == e {
		heap.Remove(&t.heap, e.index)
	}
}

// Stop stops the timer and drops the entries that have not run. It waits for a function that is running.
func (t *Timer) Stop() {
	close(t.stop)
	<-t.stopped
}

func (t *Timer) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Timer) loop() {
	defer close(t.stopped)
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	for {
		wait := t.runDue()
		next.Reset(wait)
		select {
		case <-next.C:
		case <-t.wake:
		case <-t.stop:
			return
		}
	}
}

// runDue runs the functions that are due and returns the time until the next entry.
func (t *Timer) runDue() time.Duration {
	for {
		e, wait := t.popDue()
		if e == nil {
			return wait
		}
		e.run()
	}
}

// popDue removes and returns the first entry if it is due. Otherwise it returns nil and the time until it is due, or an hour
// if there is no entry.
func (t *Timer) popDue() (*TimerEntry, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.heap) == 0 {
		return nil, time.Hour
	}
	if wait := time.Until(t.heap[0].at); wait > 0 {
		return nil, wait
	}
	e, _ := heap.Pop(&t.heap).(*TimerEntry)
	return e, 0
}

// entries implements heap.Interface, with the earliest entry first.
type entries []*TimerEntry

func (h entries) Len() int           { return len(h) }
func (h entries) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds x, a *TimerEntry, at the end.
func (h *entries) Push(x any) {
	e, _ := x.(*TimerEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes and returns the last entry.
func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	e.index = -1
	*h = old[:len(old)-1]
	return e
}
