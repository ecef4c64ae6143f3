package scripted

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// serviceTime is how long a request without a fault runs.
const serviceTime = 5 * time.Millisecond

// Connect implements backend.Connector. All servers share the world's script and its record of runs.
func (w *Environment) Connect(*model.Server, int) backend.Server { return server{w: w} }

// server answers health requests and runs non-idempotent ones; it has no queries.
type server struct {
	backend.Server
	w *Environment
}

// Health implements backend.Server.
func (s server) Health(context.Context) (backend.Health, error) {
	return backend.Health{Serving: true}, nil
}

// Execute implements backend.Server with the script's faults.
func (s server) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	run := func() { s.w.locked(func() { s.w.runs[req.Key]++ }) }
	switch s.w.next(&s.w.script.Requests) {
	case Down:
		return backend.ExecuteResult{Status: backend.StatusUnreachable}
	case Shed:
		return backend.ExecuteResult{Status: backend.StatusShed}
	case Draining:
		return backend.ExecuteResult{Status: backend.StatusDraining}
	case NoFault:
		run()
		time.Sleep(serviceTime)
		return backend.ExecuteResult{Status: backend.StatusOK, Result: ResultOf(req.Body)}
	case CrossedReply:
		run()
		return backend.ExecuteResult{Status: backend.StatusMismatched}
	case Failed:
		run()
		return backend.ExecuteResult{Status: backend.StatusFailed}
	case DelayedEffect:
		s.w.later(run)
	case LostAfterEffect:
		run()
	case Slow:
		run()
		<-ctx.Done()
	default:
	}
	return backend.ExecuteResult{Status: backend.StatusLost}
}

// ResultOf returns the result of a request with the given body.
func ResultOf(body string) string { return "receipt " + body }
