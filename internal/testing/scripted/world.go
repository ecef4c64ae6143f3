package scripted

import (
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

// Fault is the fault of one call to the store or to a server.
type Fault string

// The faults of calls. A request to a server takes effect when it runs.
const (
	// NoFault lets the call succeed.
	NoFault Fault = ""
	// Down makes the store or the server unreachable: the call has no effect.
	Down Fault = "down"
	// LostBeforeEffect loses the call: it has no effect and no reply.
	LostBeforeEffect Fault = "lost before the effect"
	// LostAfterEffect loses the reply: the call takes effect.
	LostAfterEffect Fault = "lost after the effect"
	// DelayedEffect loses the reply: the call takes effect at Environment.ClearFaults.
	DelayedEffect Fault = "lost, and takes effect later"
	// Slow makes the call last until its context ends. A write has no effect; a request runs.
	Slow Fault = "slow beyond the deadline"
	// StaleRead makes a read return the state of the key at the time StaleBy ago.
	StaleRead Fault = "stale read"
	// Paused delays the reply to a write until PauseFor after its effect, as if the daemon were paused.
	Paused Fault = "daemon paused after the effect"
	// Shed makes a server refuse the request because of its load.
	Shed Fault = "shed"
	// Draining makes a server refuse the request because it is draining.
	Draining Fault = "draining"
	// CrossedReply makes a server run the request and return the reply to another attempt.
	CrossedReply Fault = "crossed reply"
	// Failed makes a server run the request and report an error.
	Failed Fault = "ran and failed"
)

// The durations of StaleRead and Paused.
const (
	StaleBy  = 3 * time.Second
	PauseFor = 3 * time.Second
)

// Script lists the faults of the next calls, separately for writes, reads and requests to servers. Further calls succeed.
type Script struct {
	Puts, Gets, Requests []Fault
}

// Environment is a store, backed by the embedded platform, and a connector to backend servers, with one script for both. Create
// it with New.
type Environment struct {
	*memplatform.Platform

	mu     sync.Mutex
	script Script
	// runs is the number of runs by idempotency key.
	runs map[string]int
	// delayedEffects are the effects of calls with the fault DelayedEffect.
	delayedEffects []func()
}

// New returns an environment with an empty script.
func New() *Environment {
	return &Environment{Platform: memplatform.New(nil), runs: map[string]int{}}
}

// SetScript replaces the script.
func (e *Environment) SetScript(s Script) { e.withLock(func() { e.script = s }) }

// Runs returns how many times the servers ran the request with the given idempotency key.
func (e *Environment) Runs(key string) (n int) {
	e.withLock(func() { n = e.runs[key] })
	return n
}

// ClearFaults empties the script and applies the delayed effects.
func (e *Environment) ClearFaults() {
	e.SetScript(Script{})
	var effects []func()
	e.withLock(func() { effects, e.delayedEffects = e.delayedEffects, nil })
	for _, effect := range effects {
		effect()
	}
}

// withLock calls f with the lock held.
func (e *Environment) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// delay saves an effect for ClearFaults.
func (e *Environment) delay(effect func()) {
	e.withLock(func() { e.delayedEffects = append(e.delayedEffects, effect) })
}

// nextFault removes and returns the first fault of a list; an empty list means no fault.
func (e *Environment) nextFault(list *[]Fault) (f Fault) {
	e.withLock(func() {
		if len(*list) > 0 {
			f, *list = (*list)[0], (*list)[1:]
		}
	})
	return f
}
