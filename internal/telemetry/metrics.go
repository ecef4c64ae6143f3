package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"oleandersill.example/oleandersill/internal/model"
)

// reportInterval is the interval at which counters and histograms are updated on /metrics.
const reportInterval = 5 * time.Second

// latencyBuckets are the upper bounds of the latency histogram. They are dense around the latency targets of the
// ranks.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	30 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second,
}

// coverageBuckets are the upper bounds of the coverage histogram.
var coverageBuckets = tally.ValueBuckets{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 0.9999, 1}

// Metrics records the results of requests and attempts. A nil *Metrics records nothing. The values of labels come from the
// configuration in force and from fixed sets, so that the number of series is bounded.
type Metrics struct {
	handler http.Handler
	closer  io.Closer

	requests      *family[requestLabels, tally.Counter]
	latency       *family[rankLabels, tally.Histogram]
	coverage      *family[model.ServiceName, tally.Histogram]
	routes        *family[routeLabels, routeSeries]
	quotaTokens   *family[QuotaOutcome, tally.Counter]
	attempts      *family[attemptLabels, tally.Counter]
	hedges        *family[model.ServiceName, tally.Counter]
	retries       *family[model.ServiceName, tally.Counter]
	cancellations *family[model.ServiceName, tally.Counter]
	refusals      *family[refusalLabels, tally.Counter]
	ejections     *family[ejectionLabels, tally.Counter]
	dropped       *family[model.ServiceName, tally.Counter]
	connsClosed   *family[closedLabels, tally.Counter]
	callerRefused *family[string, tally.Counter]
}

type (
	// routeLabels have values from the configuration in force and from the fixed set of outcomes.
	routeLabels struct {
		route   model.RouteName
		outcome model.Outcome
	}
	routeSeries struct {
		requests tally.Counter
		latency  tally.Histogram
		missing  tally.Counter
	}
	requestLabels struct {
		rankLabels
		outcome model.Outcome
	}
	rankLabels struct {
		service model.ServiceName
		rank    model.Rank
	}
	attemptLabels struct {
		service model.ServiceName
		status  string
	}
	refusalLabels struct {
		rankLabels
		reason string
	}
	// closedLabels have values from fixed sets.
	closedLabels struct {
		port   string
		reason string
	}
	ejectionLabels struct {
		service model.ServiceName
		zone    model.AvailabilityZone
	}
)

func (l rankLabels) tags() map[string]string {
	return map[string]string{labelService: string(l.service), labelRank: l.rank.String()}
}

// NewMetrics returns metrics that call sample for the values of the gauges whenever they are read.
func NewMetrics(sample func() Sample) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(newCollector(sample))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{handler: reporter.HTTPHandler(), closer: closer}
	m.requests = newFamily(func(l requestLabels) tally.Counter {
		tags := l.tags()
		tags[labelOutcome] = string(l.outcome)
		return scope.Tagged(tags).Counter(nameRequests)
	})
	m.latency = newFamily(func(l rankLabels) tally.Histogram {
		return scope.Tagged(l.tags()).Histogram(nameLatency, latencyBuckets)
	})
	m.coverage = newFamily(func(s model.ServiceName) tally.Histogram {
		return scope.Tagged(serviceTags(s)).Histogram(nameCoverage, coverageBuckets)
	})
	m.routes = newFamily(func(l routeLabels) routeSeries {
		byRoute := scope.Tagged(map[string]string{labelRoute: string(l.route)})
		byOutcome := scope.Tagged(map[string]string{labelRoute: string(l.route), labelOutcome: string(l.outcome)})
		return routeSeries{
			requests: byOutcome.Counter(nameRouteRequests),
			latency:  byOutcome.Histogram(nameRouteLatency, latencyBuckets),
			missing:  byRoute.Counter(nameRouteMissing),
		}
	})
	m.quotaTokens = newFamily(func(o QuotaOutcome) tally.Counter {
		return scope.Tagged(map[string]string{labelOutcome: string(o)}).Counter(nameQuotaTokens)
	})
	m.attempts = newFamily(func(l attemptLabels) tally.Counter {
		return scope.Tagged(map[string]string{labelService: string(l.service), labelStatus: l.status}).Counter(nameAttempts)
	})
	m.refusals = newFamily(func(l refusalLabels) tally.Counter {
		tags := l.tags()
		tags[labelReason] = l.reason
		return scope.Tagged(tags).Counter(nameRefusals)
	})
	m.ejections = newFamily(func(l ejectionLabels) tally.Counter {
		return scope.Tagged(map[string]string{labelService: string(l.service), labelZone: string(l.zone)}).
			Counter(nameEjections)
	})
	m.hedges = serviceCounters(scope, nameHedges)
	m.retries = serviceCounters(scope, nameRetries)
	m.cancellations = serviceCounters(scope, nameCancellations)
	m.dropped = serviceCounters(scope, nameDropped)
	m.connsClosed = newFamily(func(l closedLabels) tally.Counter {
		return scope.Tagged(map[string]string{labelPort: l.port, labelReason: l.reason}).Counter(nameConnsClosed)
	})
	m.callerRefused = newFamily(func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{labelReason: reason}).Counter(nameCallerRefusals)
	})
	return m
}

func serviceTags(s model.ServiceName) map[string]string {
	return map[string]string{labelService: string(s)}
}

func serviceCounters(scope tally.Scope, name string) *family[model.ServiceName, tally.Counter] {
	return newFamily(func(s model.ServiceName) tally.Counter { return scope.Tagged(serviceTags(s)).Counter(name) })
}

// ServeHTTP serves the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close updates /metrics with the values recorded so far and stops the updates at reportInterval.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "telemetry") }

// Request records a finished request of a caller.
func (m *Metrics) Request(service model.ServiceName, rank model.Rank, outcome model.Outcome, latency time.Duration) {
	if m == nil {
		return
	}
	l := rankLabels{service: service, rank: rank}
	m.requests.with(requestLabels{rankLabels: l, outcome: outcome}).Inc(1)
	m.latency.with(l).RecordDuration(latency)
}

// RouteRequest records a finished request of a route. missing is the number of shards that its answer does not cover.
func (m *Metrics) RouteRequest(route model.RouteName, outcome model.Outcome, missing int, latency time.Duration) {
	if m == nil {
		return
	}
	s := m.routes.with(routeLabels{route: route, outcome: outcome})
	s.requests.Inc(1)
	s.latency.RecordDuration(latency)
	s.missing.Inc(int64(missing))
}

// Coverage records the coverage of an answer, in [0, 1].
func (m *Metrics) Coverage(service model.ServiceName, fraction float64) {
	if m != nil {
		m.coverage.with(service).RecordValue(fraction)
	}
}

// Attempt counts a finished attempt by its status.
func (m *Metrics) Attempt(service model.ServiceName, status string) {
	if m != nil {
		m.attempts.with(attemptLabels{service: service, status: status}).Inc(1)
	}
}

// DroppedReply counts a reply that belonged to another attempt and was dropped.
func (m *Metrics) DroppedReply(service model.ServiceName) {
	if m != nil {
		m.dropped.with(service).Inc(1)
	}
}

// Hedge counts a hedged attempt.
func (m *Metrics) Hedge(service model.ServiceName) {
	if m != nil {
		m.hedges.with(service).Inc(1)
	}
}

// Retry counts a retry.
func (m *Metrics) Retry(service model.ServiceName) {
	if m != nil {
		m.retries.with(service).Inc(1)
	}
}

// Cancellation counts an attempt that was cancelled after it was sent.
func (m *Metrics) Cancellation(service model.ServiceName) {
	if m != nil {
		m.cancellations.with(service).Inc(1)
	}
}

// Refusal counts a request that was refused at admission to a service.
func (m *Metrics) Refusal(service model.ServiceName, rank model.Rank, reason string) {
	if m != nil {
		m.refusals.with(refusalLabels{rankLabels: rankLabels{service: service, rank: rank}, reason: reason}).Inc(1)
	}
}

// Ejection counts the ejection of a server.
func (m *Metrics) Ejection(service model.ServiceName, zone model.AvailabilityZone) {
	if m != nil {
		m.ejections.with(ejectionLabels{service: service, zone: zone}).Inc(1)
	}
}

// ConnectionClosed counts a connection to a port that was closed because of a limit. The port and the reason must be from fixed sets.
func (m *Metrics) ConnectionClosed(port, reason string) {
	if m != nil {
		m.connsClosed.with(closedLabels{port: port, reason: reason}).Inc(1)
	}
}

// CallerRefused counts a caller's request that was refused before it was passed on. The reason must be from a fixed set.
func (m *Metrics) CallerRefused(reason string) {
	if m != nil {
		m.callerRefused.with(reason).Inc(1)
	}
}
