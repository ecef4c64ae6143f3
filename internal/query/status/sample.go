package status

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Sample reads the tables for the metrics.
func Sample(config *tables.Config, servers *tables.Servers, admissions *tables.Admissions) telemetry.Sample {
	s := telemetry.Sample{Revision: config.Revision(), StoreContactAge: -time.Second}
	if at := config.StoreContact(); !at.IsZero() {
		s.StoreContactAge = time.Since(at)
	}
	for _, q := range admissions.Lengths() {
		s.Queues = append(s.Queues, telemetry.QueueSample(q))
	}
	services := map[model.ServiceName]*telemetry.ServiceSample{}
	for _, record := range servers.All() {
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
