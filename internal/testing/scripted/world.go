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
	// NoFault is no fault.
	NoFault Fault = ""
	// Down: the store or the server is not reached, and nothing takes effect.
	Down Fault = "down"
	// LostBeforeEffect: there is no reply, and nothing takes effect.
	LostBeforeEffect Fault = "lost before the effect"
	// LostAfterEffect: there is no reply, and the call takes effect.
	LostAfterEffect Fault = "lost after the effect"
	// DelayedEffect: there is no reply, and the call takes effect when the world is settled.
	DelayedEffect Fault = "lost, and takes effect later"
	// Slow: there is no reply until the context ends. A write has no effect; a request runs.
	Slow Fault = "slow beyond the deadline"
	// StaleRead: a read shows the key as it was StaleBy ago.
	StaleRead Fault = "stale read"
	// Paused: the reply to a write comes PauseFor after its effect.
	Paused Fault = "daemon paused after the effect"
	// Shed: a server refuses under load.
	Shed Fault = "shed"
	// Draining: a server refuses because it is leaving.
	Draining Fault = "draining"
	// CrossedReply: a server runs the request and answers with another attempt's reply.
	CrossedReply Fault = "crossed reply"
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

// Environment is a store, which the embedded platform backs, and the servers that it connects to. Create it with New.
type Environment struct {
	*memplatform.Platform

	mu      sync.Mutex
	script  Script
	runs    map[string]int
	pending []func()
}

// New returns a world without faults.
func New() *Environment {
	return &Environment{Platform: memplatform.New(nil), runs: map[string]int{}}
}

// SetScript replaces the script.
func (w *Environment) SetScript(s Script) { w.locked(func() { w.script = s }) }

// Runs returns how often the servers ran the request with the given key.
func (w *Environment) Runs(key string) (n int) {
	w.locked(func() { n = w.runs[key] })
	return n
}

// ClearFaults ends the scripted faults and lets the delayed effects happen.
func (w *Environment) ClearFaults() {
	w.SetScript(Script{})
	var effects []func()
	w.locked(func() { effects, w.pending = w.pending, nil })
	for _, effect := range effects {
		effect()
	}
}

func (w *Environment) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *Environment) later(effect func()) {
	w.locked(func() { w.pending = append(w.pending, effect) })
}

func (w *Environment) next(list *[]Fault) (f Fault) {
	w.locked(func() {
		if len(*list) > 0 {
			f, *list = (*list)[0], (*list)[1:]
		}
	})
	return f
}
