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

// handleConfig serves the configuration on the operators' port, and removes unused parts in the background.
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

// guard asks for the operators' tokens.
func (d *Daemon) guard(operators http.Handler) http.Handler {
	return httpapi.Tokens{Change: d.settings.OperatorToken, Read: d.settings.OperatorReadToken}.Guard(operators)
}
