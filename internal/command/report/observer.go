package report

import (
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Observer passes attempts to Next, and then counts them and logs ejections and the retry hints of servers.
type Observer struct {
	Next    dispatch.Observer
	Metrics *telemetry.Metrics
	Log     zerolog.Logger
}

// ObserveAttempt implements dispatch.Observer.
func (o *Observer) ObserveAttempt(s *tables.Server, a dispatch.AttemptResult) float64 {
	slowdown := o.Next.ObserveAttempt(s, a)
	spec := s.Spec()
	if !a.Forwarded || a.Status == backend.StatusOwnerLost || a.Status == backend.StatusZoneUnreachable {
		// The owner that sent the attempt counts it.
		o.Metrics.Attempt(spec.Service, a.Status.String())
	}
	if a.Status == backend.StatusMismatched {
		o.Metrics.DroppedReply(spec.Service)
	}
	if a.RetryAfter > 0 {
		o.serverEvent(spec).Dur("retry_after", a.RetryAfter).Bool("forwarded", a.Forwarded).Msg("server_pushback")
	}
	switch s.TakeEjectionChange() {
	case tables.EjectionBegan:
		o.Metrics.Ejection(spec.Service, spec.Zone)
		o.serverEvent(spec).Str("status", a.Status.String()).Dur("latency", a.Latency).Msg("server_ejected")
	case tables.EjectionEnded:
		o.serverEvent(spec).Msg("server_in_use")
	case tables.EjectionUnchanged:
	}
	return slowdown
}

func (o *Observer) serverEvent(spec *model.Server) *zerolog.Event {
	return o.Log.Info().Str("service", string(spec.Service)).Str("shard", string(spec.Shard)).
		Str("server", string(spec.Name)).Str("zone", string(spec.Zone))
}
