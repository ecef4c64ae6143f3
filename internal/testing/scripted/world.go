package scripted

import (
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

// Fault is what goes wrong with one call to the store or to a server.
type Fault string

// The faults. Those of servers say whether the request runs.
const (
	// Fine is no fault.
	Fine Fault = ""
	// Down: the store or the server is not reached, and nothing takes effect.
	Down Fault = "down"
	// LostBefore: there is no reply, and nothing takes effect.
	LostBefore Fault = "lost before the effect"
	// LostAfter: there is no reply, and the call takes effect.
	LostAfter Fault = "lost after the effect"
	// Late: there is no reply, and the call takes effect when the world is settled.
	Late Fault = "lost, and takes effect later"
	// Slow: there is no reply until the context ends. A write has no effect; a request runs.
	Slow Fault = "slow beyond the deadline"
	// Stale: a read shows the key as it was StaleBy ago.
	Stale Fault = "stale read"
	// Paused: the reply to a write comes PauseFor after its effect.
	Paused Fault = "daemon paused after the effect"
	// Shed: a server refuses under load.
	Shed Fault = "shed"
	// Draining: a server refuses because it is leaving.
	Draining Fault = "draining"
	// Crossed: a server runs the request and answers with another attempt's reply.
	Crossed Fault = "crossed reply"
	// Failed: a server runs the request and reports an error.
	Failed Fault = "ran and failed"
)

// The times of the faults Stale and Paused.
const (
	StaleBy  = 3 * time.Second
	PauseFor = 3 * time.Second
)

// Script lists the faults of the next calls; calls beyond them succeed.
type Script struct {
	Puts, Gets, Requests []Fault
}

// World is a store, which the embedded platform backs, and the servers that it connects to. Create it with New.
type World struct {
	*memplatform.Platform

	mu      sync.Mutex
	script  Script
	runs    map[string]int
	pending []func()
}

// New returns a world without faults.
func New() *World {
	return &World{Platform: memplatform.New(nil), runs: map[string]int{}}
}

// Set replaces the script.
func (w *World) Set(s Script) { w.locked(func() { w.script = s }) }

// Runs returns how often the servers ran the request with the given key.
func (w *World) Runs(key string) (n int) {
	w.locked(func() { n = w.runs[key] })
	return n
}

// Settle ends the scripted faults and lets the delayed effects happen.
func (w *World) Settle() {
	w.Set(Script{})
	var effects []func()
	w.locked(func() { effects, w.pending = w.pending, nil })
	for _, effect := range effects {
		effect()
	}
}

func (w *World) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *World) later(effect func()) { w.locked(func() { w.pending = append(w.pending, effect) }) }

func (w *World) next(list *[]Fault) (f Fault) {
	w.locked(func() {
		if len(*list) > 0 {
			f, *list = (*list)[0], (*list)[1:]
		}
	})
	return f
}
