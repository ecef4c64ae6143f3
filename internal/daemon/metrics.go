package daemon

import (
	"net/http"
	"strconv"
	"time"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/status"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// sample reads the tables for the metrics.
func (d *Daemon) sample() telemetry.Sample {
	return status.Sample(d.config, d.dispatcher.Servers, d.dispatcher.Admissions)
}

// instrument counts the requests that h answers, by the outcome and coverage that it writes into the headers. Requests
// of unknown callers and services are not counted, so that callers cannot add series.
func (d *Daemon) instrument(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin := time.Now()
		h.ServeHTTP(w, r)
		t := d.config.Current()
		service := model.ServiceName(r.PathValue("service"))
		outcome := w.Header().Get(httpapi.HeaderOutcome)
		if t == nil || t.Service(service) == nil || outcome == "" {
			return
		}
		rank := t.RankOf(model.CallerName(r.Header.Get(httpapi.HeaderCaller)))
		d.metrics.Request(service, rank, model.Outcome(outcome), time.Since(begin))
		if c, err := strconv.ParseFloat(w.Header().Get(httpapi.HeaderCoverage), 64); err == nil {
			d.metrics.Coverage(service, c)
		}
	})
}

// observeZone logs that a zone became unreachable or is reachable again.
func (d *Daemon) observeZone(zone model.AvailabilityZone, unreachable bool) {
	if unreachable {
		d.log.Warn().Str("zone", string(zone)).Msg("zone_unreachable")
		return
	}
	d.log.Info().Str("zone", string(zone)).Msg("zone_reachable")
}
