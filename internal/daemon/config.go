package daemon

import (
	"context"
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/query/audit"
	"oleandersill.example/oleandersill/internal/query/configread"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// handleConfig registers the configuration endpoints on the operators' port and starts the background removal of unused
// configuration parts.
func (d *Daemon) handleConfig(operators *http.ServeMux) {
	configurer := &configure.Configurer{Store: d.platform, Now: time.Now}
	collector := configure.NewCollector(configurer, d.log)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopCollector = cancel
	d.wg.Go(func() { collector.Run(ctx) })
	store := configstore.Reader{Store: d.platform}
	operators.Handle("POST /v1/config/apply", &commandhttp.Apply{Configurer: configurer, Log: d.log})
	operators.Handle("POST /v1/config/rollback", &commandhttp.Rollback{Configurer: configurer, Log: d.log})
	operators.Handle("GET /v1/config", &queryhttp.Config{Reader: configread.Reader{Store: store, InForce: d.config}})
	operators.Handle("GET /v1/audit", &queryhttp.Audit{Lister: audit.Lister{Store: store}})
}

// authorize requires one of the operators' tokens on requests to the operators' port.
func (d *Daemon) authorize(operators http.Handler) http.Handler {
	return httpapi.Tokens{ReadWrite: d.settings.OperatorToken, ReadOnly: d.settings.OperatorReadToken}.Authorize(operators)
}
