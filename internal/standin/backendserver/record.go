package backendserver

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin"
)

// maxQueries bounds the query executions that a record keeps; older ones are dropped but still counted. The measurement
// driver's longest scenario makes about 270,000, and its results need all of them.
const maxQueries = 1 << 19

// End is how an execution ended.
type End string

// Ways in which an execution ends.
const (
	// EndRunning means that the execution has not ended.
	EndRunning End = "running"
	// EndCompleted means that the execution completed, whether or not the reply arrived.
	EndCompleted End = "completed"
	// EndCancelled means that a cancel request stopped the execution.
	EndCancelled End = "cancelled"
	// EndCut means that the connection was closed.
	EndCut End = "cut"
	// EndDeadline means that the deadline passed.
	EndDeadline End = "deadline"
	// EndCrashed means that the server crashed or was closed.
	EndCrashed End = "crashed"
)

// Execution is a request that a server started to run.
type Execution struct {
	Server  model.ServerName
	Attempt backend.AttemptID
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	// Key is the idempotency key of a non-idempotent request; empty for a query.
	Key   string
	Start time.Time
	// Stop is the time of the end; zero while the execution runs.
	Stop time.Time
	End  End
}

// Counts holds the number of started executions and their numbers by end.
type Counts struct {
	Started int
	ByEnd   map[End]int
}

// Record is a list of executions. Servers may share a Record. Its methods are safe for concurrent use.
type Record struct {
	mu      lockorder.Mutex
	queries []*Execution
	// commands lists the executions of non-idempotent requests, none of which is dropped.
	commands []*Execution
	started  int
	byEnd    map[End]int
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{mu: lockorder.New(standin.OrderBackendRecord), byEnd: map[End]int{}}
}

// begin adds an execution that starts now.
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

// end sets the end of an execution.
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

// Counts returns the numbers of executions since the record was created.
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
