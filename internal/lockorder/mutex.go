package lockorder

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Order is a mutex's place in the lock order. A goroutine acquires mutexes in strictly increasing order.
type Order int

var (
	checking atomic.Bool
	heldMu   sync.Mutex
	held     = map[uint64][]Order{}
)

// EnableCheck turns the order check on for the rest of the process. Call it before any Mutex is locked.
func EnableCheck() { checking.Store(true) }

// Mutex is a mutual exclusion lock with an order. Create it with New.
type Mutex struct {
	mu    sync.Mutex
	order Order
}

// New returns an unlocked mutex with the given order.
func New(order Order) Mutex { return Mutex{order: order} }

// Lock acquires the mutex. It panics when checking is on and the goroutine holds a mutex of the same or a higher order.
func (m *Mutex) Lock() {
	if checking.Load() {
		push(m.order)
	}
	m.mu.Lock()
}

// Unlock releases the mutex.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if checking.Load() {
		pop(m.order)
	}
}

func push(o Order) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, h := range held[id] {
		if h >= o {
			panic(fmt.Sprintf("lockorder: acquiring order %d while holding order %d", o, h))
		}
	}
	held[id] = append(held[id], o)
}

func pop(o Order) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	orders := held[id]
	for i := len(orders) - 1; i >= 0; i-- {
		if orders[i] == o {
			orders = append(orders[:i], orders[i+1:]...)
			break
		}
	}
	if len(orders) == 0 {
		delete(held, id)
		return
	}
	held[id] = orders
}

// goroutineID reads the id from the first line of the stack, "goroutine N [state]:"; the runtime has no other way to
// tell. Only the check, which runs in tests, pays for it.
func goroutineID() uint64 {
	var buf [64]byte
	line := buf[:runtime.Stack(buf[:], false)]
	fields := bytes.Fields(line)
	id, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		panic("lockorder: cannot parse goroutine id: " + err.Error())
	}
	return id
}
