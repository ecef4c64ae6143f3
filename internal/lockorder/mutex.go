package lockorder

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Order is the position of a mutex in the lock order. A goroutine must acquire mutexes in strictly increasing order.
type Order int

var (
	checking atomic.Bool
	heldMu   sync.Mutex
	// held has the orders of the mutexes that each goroutine holds, by goroutine ID. heldMu guards it.
	held = map[uint64][]Order{}
)

// EnableCheck enables the order check for the rest of the process. Call it before any Mutex is locked.
func EnableCheck() { checking.Store(true) }

// Mutex is a mutual exclusion lock with an order. Create it with New.
type Mutex struct {
	mu    sync.Mutex
	order Order
}

// New returns an unlocked mutex with the given order.
func New(order Order) Mutex { return Mutex{order: order} }

// Lock acquires the mutex. It panics if checking is enabled and the goroutine holds a mutex of the same or a higher order.
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

// push records that the goroutine acquires a mutex, and panics if that violates the lock order.
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

// pop records that the goroutine released a mutex.
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

// goroutineID parses the ID from the first line of the stack trace, "goroutine N [state]:", since the runtime does not provide
// it in any other way. Only the check, which runs in tests, has this cost.
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
