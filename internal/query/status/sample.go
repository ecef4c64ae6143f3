package status

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Sample returns the state of the tables for the metrics.
func Sample(config *tables.Config, servers *tables.Servers, admissions *tables.Admissions) telemetry.Sample {
	s := telemetry.Sample{Revision: config.Revision(), StoreContactAge: -time.Second, VerifiedAge: -time.Second}
	if at := config.StoreContact(); !at.IsZero() {
		s.StoreContactAge = time.Since(at)
	}
	for _, q := range admissions.QueueLengths() {
		s.Queues = append(s.Queues, telemetry.QueueSample(q))
	}
	services := map[model.ServiceName]*telemetry.ServiceSample{}
	for _, record := range servers.All() {
		addServer(&s, services, record.Status())
	}
	for _, service := range services {
		s.Services = append(s.Services, *service)
	}
	return s
}

func addServer(s *telemetry.Sample, services map[model.ServiceName]*telemetry.ServiceSample, st tables.ServerStatus) {
	service := services[st.Spec.Service]
	if service == nil {
		service = &telemetry.ServiceSample{Service: st.Spec.Service, States: map[string]int{}}
		services[st.Spec.Service] = service
	}
	service.InFlight += st.InFlight
	service.Limit += st.Limit
	service.States[string(st.State)]++
	if st.State != tables.ServerOrdinary {
		s.Servers = append(s.Servers, telemetry.ServerSample{
			Spec: st.Spec, InFlight: st.InFlight, Limit: st.Limit, State: string(st.State),
		})
	}
}
