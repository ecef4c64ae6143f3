package daemon

import (
	"net/http"
	"strconv"
	"time"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// sample reads the tables for the metrics.
func (d *Daemon) sample() telemetry.Sample {
	s := telemetry.Sample{Revision: d.config.Revision(), StoreContactAge: -time.Second}
	if at := d.config.StoreContact(); !at.IsZero() {
		s.StoreContactAge = time.Since(at)
	}
	for _, q := range d.dispatcher.Admissions.Lengths() {
		s.Queues = append(s.Queues, telemetry.QueueSample(q))
	}
	services := map[model.ServiceName]*telemetry.ServiceSample{}
	for _, record := range d.dispatcher.Servers.All() {
		addServer(&s, services, record.Status())
	}
	for _, v := range services {
		s.Services = append(s.Services, *v)
	}
	return s
}

func addServer(s *telemetry.Sample, services map[model.ServiceName]*telemetry.ServiceSample, st tables.ServerStatus) {
	v := services[st.Spec.Service]
	if v == nil {
		v = &telemetry.ServiceSample{Service: st.Spec.Service, States: map[string]int{}}
		services[st.Spec.Service] = v
	}
	v.InFlight += st.InFlight
	v.Limit += st.Limit
	v.States[string(st.State)]++
	if st.State != tables.ServerOrdinary {
		s.Servers = append(s.Servers, telemetry.ServerSample{
			Spec: st.Spec, InFlight: st.InFlight, Limit: st.Limit, State: string(st.State),
		})
	}
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
