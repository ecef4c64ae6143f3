package pool

import (
	"container/heap"
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
)

// Timer runs functions at given times on one goroutine, so functions must be short and must not block on I/O.
type Timer struct {
	mu    lockorder.Mutex
	heap  entries
	wake  chan struct{}
	done  chan struct{}
	ended chan struct{}
}

// TimerEntry is a scheduled function.
type TimerEntry struct {
	at    time.Time
	run   func()
	index int
}

// NewTimer starts a timer whose lock has the given order.
func NewTimer(order lockorder.Order) *Timer {
	t := &Timer{
		mu:    lockorder.New(order),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go t.loop()
	return t
}

// Schedule runs f at the given time.
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

// Cancel removes the entry if it has not run yet.
func (t *Timer) Cancel(e *TimerEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.index >= 0 && e.index < len(t.heap) && t.heap[e.index] == e {
		heap.Remove(&t.heap, e.index)
	}
}

// Stop ends the timer; entries that have not run are dropped.
func (t *Timer) Stop() {
	close(t.done)
	<-t.ended
}

func (t *Timer) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Timer) loop() {
	defer close(t.ended)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := t.runDue()
		alarm.Reset(wait)
		select {
		case <-alarm.C:
		case <-t.wake:
		case <-t.done:
			return
		}
	}
}

// runDue runs what is due and returns the time until the next entry.
func (t *Timer) runDue() time.Duration {
	for {
		e, wait := t.popDue()
		if e == nil {
			return wait
		}
		e.run()
	}
}

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

// entries implements heap.Interface, earliest first.
type entries []*TimerEntry

func (h entries) Len() int           { return len(h) }
func (h entries) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds x, an *Entry, at the end.
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
