package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// ExecutionKey identifies a non-idempotent request: the service and the idempotency key in its canonical form.
type ExecutionKey struct {
	Service model.ServiceName
	Key     string
}

// ExecutionResult is the result of a non-idempotent request. Every caller that waits for the request gets the same one.
type ExecutionResult struct {
	Outcome model.Outcome
	// Reason says why the outcome is not complete. It is empty for OutcomeComplete.
	Reason string
	// Result is the server's result, for OutcomeComplete.
	Result string
	// Recorded means that the result was read from a claim record, not obtained by this request.
	Recorded bool
	// Rejected means that the key belongs to a request with different content.
	Rejected   bool
	RetryAfter time.Duration
}

// Execution is one non-idempotent request in progress at this daemon. Its result is set before Done is closed.
type Execution struct {
	digest string
	done   chan struct{}
	result ExecutionResult
}

// Done returns a channel that is closed when the result is known.
func (e *Execution) Done() <-chan struct{} { return e.done }

// Result returns the result. It must be called only after Done is closed.
func (e *Execution) Result() ExecutionResult { return e.result }

// SameContent reports whether the request of the execution has the given content digest.
func (e *Execution) SameContent(digest string) bool { return e.digest == digest }

// Executions holds the non-idempotent requests in progress by key, so that concurrent requests with the same key at this
// daemon run once and share the result. Invariant: an entry is present exactly while its request is in progress.
// Owner: command/execute.
type Executions struct {
	mu      lockorder.Mutex
	entries map[ExecutionKey]*Execution
}

// NewExecutions returns an empty table.
func NewExecutions() *Executions {
	return &Executions{mu: lockorder.New(OrderExecutions), entries: map[ExecutionKey]*Execution{}}
}

// Begin returns the execution of a key and whether this call created it. If it did, the caller must call Finish.
func (t *Executions) Begin(key ExecutionKey, digest string) (e *Execution, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e, false
	}
	e = &Execution{digest: digest, done: make(chan struct{})}
	t.entries[key] = e
	return e, true
}

// Finish publishes the result of an execution and removes it.
func (t *Executions) Finish(key ExecutionKey, e *Execution, r ExecutionResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = r
	close(e.done)
	delete(t.entries, key)
}

// Len returns the number of requests in progress.
func (t *Executions) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
