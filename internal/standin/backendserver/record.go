package backendserver

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin"
)

// maxQueries bounds the query executions that a record keeps; older ones are dropped and only counted.
// The driver's longest scenario makes about 270,000, all of which its figures need.
const maxQueries = 1 << 19

// End is how an execution ended.
type End string

// The ends of an execution.
const (
	// EndRunning: it has not ended.
	EndRunning End = "running"
	// EndCompleted: it ran to its end, whether or not the reply arrived.
	EndCompleted End = "completed"
	// EndCancelled: a cancel request stopped it.
	EndCancelled End = "cancelled"
	// EndCut: its connection was closed.
	EndCut End = "cut"
	// EndDeadline: its deadline passed.
	EndDeadline End = "deadline"
	// EndCrashed: the server crashed.
	EndCrashed End = "crashed"
)

// Execution is one request that a server started.
type Execution struct {
	Server  model.ServerName
	Attempt backend.AttemptID
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	// Key is the idempotency key of a non-idempotent request; empty for a query.
	Key   string
	Start time.Time
	// Stop is zero while the execution runs.
	Stop time.Time
	End  End
}

// Counts states how many executions started and how they ended.
type Counts struct {
	Started int
	ByEnd   map[End]int
}

// Record lists executions. Servers may share one.
type Record struct {
	mu      lockorder.Mutex
	queries []*Execution
	// commands are the executions of non-idempotent requests; none is dropped.
	commands []*Execution
	started  int
	byEnd    map[End]int
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{mu: lockorder.New(standin.OrderBackendRecord), byEnd: map[End]int{}}
}

func (r *Record) begin(e Execution) *Execution {
	e.Start, e.End = time.Now(), EndRunning
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.byEnd[EndRunning]++
	if e.Key != "" {
		r.commands = append(r.commands, &e)
		return &e
	}
	if len(r.queries) >= maxQueries {
		r.queries = slices.Delete(r.queries, 0, maxQueries/2)
	}
	r.queries = append(r.queries, &e)
	return &e
}

func (r *Record) end(e *Execution, how End, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.End, e.Stop = how, at
	r.byEnd[EndRunning]--
	r.byEnd[how]++
}

// Queries returns the executions of queries, oldest first.
func (r *Record) Queries() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return values(r.queries)
}

// Commands returns the executions of non-idempotent requests, oldest first.
func (r *Record) Commands() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return values(r.commands)
}

// Counts returns the numbers of executions since the record was made.
func (r *Record) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{Started: r.started, ByEnd: map[End]int{}}
	for end, n := range r.byEnd {
		c.ByEnd[end] = n
	}
	return c
}

// RunsByKey counts the executions of non-idempotent requests by key.
func (r *Record) RunsByKey() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]int{}
	for _, e := range r.commands {
		runs[e.Key]++
	}
	return runs
}

func values(list []*Execution) []Execution {
	out := make([]Execution, 0, len(list))
	for _, e := range list {
		out = append(out, *e)
	}
	return out
}
