package daemon

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// startExecutor starts the executor of non-idempotent requests.
func (d *Daemon) startExecutor(incarnation model.Incarnation) {
	d.executor = execute.New(execute.Config{
		Dispatcher:  d.dispatcher,
		Executions:  tables.NewExecutions(),
		Claims:      &execute.PlatformClaimStore{Store: d.platform},
		Instance:    d.settings.Instance,
		Incarnation: incarnation,
		Log:         d.log,
	})
}

// handleExecute registers the endpoint for non-idempotent requests on the callers' port.
func (d *Daemon) handleExecute(callers *http.ServeMux) {
	callers.Handle("POST /v1/services/{service}/execute",
		d.instrument(&commandhttp.Execute{Config: d.config, Executor: d.executor}))
}
