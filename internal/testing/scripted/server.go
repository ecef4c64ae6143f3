package scripted

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// serviceTime is the run time of a request without a fault.
const serviceTime = 5 * time.Millisecond

// Connect implements backend.Connector. All servers share the script and the counters of runs. They implement only Health and
// Execute; other calls panic.
func (e *Environment) Connect(*model.Server, int) backend.Server { return server{environment: e} }

// server implements backend.Server for health and non-idempotent requests only; other calls panic, because the embedded
// interface is nil.
type server struct {
	backend.Server
	environment *Environment
}

// Health implements backend.Server.
func (s server) Health(context.Context) (backend.Health, error) {
	return backend.Health{Serving: true}, nil
}

// Execute implements backend.Server with the faults of the script.
func (s server) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	run := func() { s.environment.withLock(func() { s.environment.runs[req.Key]++ }) }
	switch s.environment.nextFault(&s.environment.script.Requests) {
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
		s.environment.delay(run)
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
