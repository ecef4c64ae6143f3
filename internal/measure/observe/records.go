package observe

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// maxWorkAfterLeave is how long a leaving server may still receive new work (guarantee G6).
const maxWorkAfterLeave = 3 * time.Second

// LeaveTimes holds the time at which each leaving server was marked as leaving.
type LeaveTimes map[model.ServerName]time.Time

// Executions counts the sub-requests that servers started, by request.
type Executions map[model.RequestID]int

// CountExecutions counts the queries of an execution record by request.
func CountExecutions(queries []backendserver.Execution) Executions {
	out := Executions{}
	for _, e := range queries {
		out[e.Attempt.Request]++
	}
	return out
}

// MeanServiceTime returns the mean time that completed executions held a slot.
func MeanServiceTime(queries []backendserver.Execution) time.Duration {
	total, n := time.Duration(0), time.Duration(0)
	for _, e := range queries {
		if e.End == backendserver.EndCompleted {
			total += e.Stop.Sub(e.Start)
			n++
		}
	}
	return total / max(1, n)
}

// CheckRecord counts the violations that can be found from the execution records alone: queries that a server started too
// long after it was marked as leaving, and idempotency keys that ran more than once.
func CheckRecord(queries []backendserver.Execution, runsByKey map[string]int, leaveTimes LeaveTimes) Violations {
	var v Violations
	for _, e := range queries {
		if left, ok := leaveTimes[e.Server]; ok && e.Start.Sub(left) > maxWorkAfterLeave {
			v.WorkAfterLeave++
		}
	}
	for _, runs := range runsByKey {
		if runs > 1 {
			v.DoubleRun++
		}
	}
	return v
}
