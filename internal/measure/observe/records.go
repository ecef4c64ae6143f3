package observe

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// leaveBound is how long a leaving server may still get new work (guarantee G6).
const leaveBound = 3 * time.Second

// LeaveTimes gives the time of the first sign that a server leaves.
type LeaveTimes map[model.ServerName]time.Time

// Executions counts the sub-requests that servers started, by request.
type Executions map[model.RequestID]int

// CountExecutions counts a record's queries by request.
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

// CheckRecord counts the violations that a record shows by itself.
func CheckRecord(queries []backendserver.Execution, runsByKey map[string]int, leaves LeaveTimes) Violations {
	var v Violations
	for _, e := range queries {
		if left, ok := leaves[e.Server]; ok && e.Start.Sub(left) > leaveBound {
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
