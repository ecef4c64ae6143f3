package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
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

// attemptObserver counts attempts and logs changes of servers' states before it passes attempts on.
type attemptObserver struct {
	next    dispatch.Observer
	metrics *telemetry.Metrics
	log     zerolog.Logger
	// states holds the last logged state of servers whose state is not ordinary.
	states sync.Map
}

// ObserveAttempt implements dispatch.Observer.
func (o *attemptObserver) ObserveAttempt(s *tables.Server, a dispatch.Attempt) float64 {
	slowdown := o.next.ObserveAttempt(s, a)
	st := s.Status()
	o.metrics.Attempt(st.Spec.Service, a.Status.String())
	if a.Status == backend.StatusMismatched {
		o.metrics.DroppedReply(st.Spec.Service)
	}
	o.noteState(st)
	return slowdown
}

// noteState logs a server's change between in use, ejected and leaving. Changes of the in-flight limit are too frequent
// for the log.
func (o *attemptObserver) noteState(st tables.ServerStatus) {
	var before any
	if st.State == tables.ServerEjected || st.State == tables.ServerLeaving {
		before, _ = o.states.Swap(st.Spec.Name, st.State)
	} else {
		before, _ = o.states.LoadAndDelete(st.Spec.Name)
		st.State = tables.ServerOrdinary
		if before == nil {
			return
		}
	}
	if before == st.State {
		return
	}
	event := o.log.Info().Str("service", string(st.Spec.Service)).Str("shard", string(st.Spec.Shard)).
		Str("server", string(st.Spec.Name)).Str("zone", string(st.Spec.Zone))
	switch st.State {
	case tables.ServerEjected:
		o.metrics.Ejection(st.Spec.Service, st.Spec.Zone)
		event.Msg("server_ejected")
	case tables.ServerLeaving:
		event.Msg("server_leaving")
	case tables.ServerLimited, tables.ServerOrdinary:
		event.Msg("server_in_use")
	}
}
