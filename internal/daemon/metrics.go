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

// sample returns the values of the gauges, read from the tables.
func (d *Daemon) sample() telemetry.Sample {
	return status.Sample(d.config, d.dispatcher.Servers, d.dispatcher.Admissions)
}

// instrument wraps h to record metrics of the requests that h answers, from the outcome and the coverage in the response
// headers. Requests for unknown services are not counted, so that callers cannot add series.
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

// observeZone logs that a zone has become unreachable or reachable again.
func (d *Daemon) observeZone(zone model.AvailabilityZone, unreachable bool) {
	if unreachable {
		d.log.Warn().Str("zone", string(zone)).Msg("zone_unreachable")
		return
	}
	d.log.Info().Str("zone", string(zone)).Msg("zone_reachable")
}
