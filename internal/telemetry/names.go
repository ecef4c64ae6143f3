package telemetry

// prefix starts the name of every metric.
const prefix = "oleandersill"

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics, named as in the Prometheus text format.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition describes a metric. Names and labels are stable: operators' dashboards refer to them. The values of the
// labels service, shard, server and zone are the inventory's own names.
type Definition struct {
	Name   string
	Kind   Kind
	Labels []string
}

// Names of the labels.
const (
	labelService = "service"
	labelShard   = "shard"
	labelServer  = "server"
	labelZone    = "zone"
	labelRank    = "rank"
	labelOutcome = "outcome"
	labelStatus  = "status"
	labelReason  = "reason"
	labelState   = "state"
	labelRoute   = "route"
	labelPort    = "port"
)

// Names of the metrics, without the prefix.
const (
	nameRequests        = "requests_total"
	nameLatency         = "request_latency_seconds"
	nameCoverage        = "coverage_ratio"
	nameRouteRequests   = "route_requests_total"
	nameRouteLatency    = "route_latency_seconds"
	nameRouteMissing    = "route_missing_shards_total"
	nameQuotaTokens     = "quota_tokens_total"
	nameAttempts        = "attempts_total"
	nameHedges          = "hedges_total"
	nameRetries         = "retries_total"
	nameCancellations   = "cancellations_total"
	nameRefusals        = "refusals_total"
	nameEjections       = "ejections_total"
	nameDropped         = "dropped_replies_total"
	nameQueue           = "queue_length"
	nameServers         = "servers"
	nameServiceInFlight = "service_in_flight"
	nameServiceLimit    = "service_limit"
	nameServerInFlight  = "server_in_flight"
	nameServerLimit     = "server_limit"
	nameRevision        = "config_revision"
	nameStoreContact    = "store_contact_age_seconds"
	nameVerifiedAge     = "verified_age_seconds"
	nameConnsClosed     = "connections_closed_total"
	nameCallerRefusals  = "caller_requests_refused_total"
)

var serverLabels = []string{labelService, labelShard, labelServer, labelZone, labelState}

// Definitions lists every metric, as /metrics serves it.
func Definitions() []Definition {
	ds := []Definition{
		{nameRequests, Counter, []string{labelService, labelRank, labelOutcome}},
		{nameLatency, Histogram, []string{labelService, labelRank}},
		{nameCoverage, Histogram, []string{labelService}},
		{nameRouteRequests, Counter, []string{labelRoute, labelOutcome}},
		{nameRouteLatency, Histogram, []string{labelRoute, labelOutcome}},
		{nameRouteMissing, Counter, []string{labelRoute}},
		{nameQuotaTokens, Counter, []string{labelOutcome}},
		{nameAttempts, Counter, []string{labelService, labelStatus}},
		{nameHedges, Counter, []string{labelService}},
		{nameRetries, Counter, []string{labelService}},
		{nameCancellations, Counter, []string{labelService}},
		{nameRefusals, Counter, []string{labelService, labelRank, labelReason}},
		{nameEjections, Counter, []string{labelService, labelZone}},
		{nameDropped, Counter, []string{labelService}},
		{nameQueue, Gauge, []string{labelService, labelRank}},
		{nameServers, Gauge, []string{labelService, labelState}},
		{nameServiceInFlight, Gauge, []string{labelService}},
		{nameServiceLimit, Gauge, []string{labelService}},
		{nameServerInFlight, Gauge, serverLabels},
		{nameServerLimit, Gauge, serverLabels},
		{nameRevision, Gauge, nil},
		{nameStoreContact, Gauge, nil},
		{nameVerifiedAge, Gauge, nil},
		{nameConnsClosed, Counter, []string{labelPort, labelReason}},
		{nameCallerRefusals, Counter, []string{labelReason}},
	}
	for i := range ds {
		ds[i].Name = prefix + "_" + ds[i].Name
	}
	return ds
}
