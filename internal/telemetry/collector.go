package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleandersill.example/oleandersill/internal/model"
)

// Sample is the state of a daemon's tables at one time.
type Sample struct {
	Revision model.Revision
	// StoreContactAge is the time since the store's last reply; negative if there was none.
	StoreContactAge time.Duration
	// VerifiedAge is how old the routing configuration in force can be at most; negative if that is not known or not needed.
	VerifiedAge time.Duration
	Queues      []QueueSample
	Services    []ServiceSample
	// Servers lists only the servers whose state is not ordinary, so that the number of series stays small.
	Servers []ServerSample
}

// QueueSample is the number of requests of a rank that are queued for admission.
type QueueSample struct {
	Service model.ServiceName
	Rank    model.Rank
	Waiting int
}

// ServiceSample aggregates the servers of a service.
type ServiceSample struct {
	Service model.ServiceName
	// InFlight and Limit are sums over the servers.
	InFlight int
	Limit    int
	// States counts the servers by state.
	States map[string]int
}

// ServerSample is one server's attempts in flight, its limit and its state.
type ServerSample struct {
	Spec     *model.Server
	InFlight int
	Limit    int
	State    string
}

// collector takes a sample and converts it to gauges whenever the metrics are read. The series of a server thus end once its
// state is ordinary again; a gauge that is set would keep its last value.
type collector struct {
	sample func() Sample
	descs  map[string]*prometheus.Desc
}

func newCollector(sample func() Sample) *collector {
	c := &collector{sample: sample, descs: map[string]*prometheus.Desc{}}
	for _, d := range Definitions() {
		if d.Kind == Gauge {
			c.descs[d.Name] = prometheus.NewDesc(d.Name, d.Name, d.Labels, nil)
		}
	}
	return c
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(name string, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(c.descs[prefix+"_"+name], prometheus.GaugeValue, value, labels...)
	}
	s := c.sample()
	gauge(nameRevision, float64(s.Revision))
	gauge(nameStoreContact, s.StoreContactAge.Seconds())
	gauge(nameVerifiedAge, s.VerifiedAge.Seconds())
	for _, q := range s.Queues {
		gauge(nameQueue, float64(q.Waiting), string(q.Service), q.Rank.String())
	}
	for _, v := range s.Services {
		gauge(nameServiceInFlight, float64(v.InFlight), string(v.Service))
		gauge(nameServiceLimit, float64(v.Limit), string(v.Service))
		for state, n := range v.States {
			gauge(nameServers, float64(n), string(v.Service), state)
		}
	}
	for _, v := range s.Servers {
		labels := []string{
			string(v.Spec.Service), string(v.Spec.Shard), string(v.Spec.Name), string(v.Spec.Zone), v.State,
		}
		gauge(nameServerInFlight, float64(v.InFlight), labels...)
		gauge(nameServerLimit, float64(v.Limit), labels...)
	}
}
