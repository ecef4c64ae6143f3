package platformserver

import (
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

// Config configures a Server. The zero value is ready to use.
type Config struct {
	// Now is the clock for leases, rate limits, stale reads and the lag of the list of instances; nil means time.Now.
	Now func() time.Time
	// Seed makes the random choice of faults reproducible.
	Seed uint64
}

// Server is the stand-in for the platform. Create it with New and serve it with Listen or as an http.Handler.
type Server struct {
	mux   *http.ServeMux
	table *faultTable
	data  *memplatform.Platform
	now   func() time.Time
}

// New returns an empty platform.
func New() *Server { return NewWith(Config{}) }

// NewWith returns an empty platform with the given configuration.
func NewWith(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{mux: http.NewServeMux(), table: newFaultTable(cfg.Seed), data: memplatform.New(cfg.Now), now: cfg.Now}
	s.handle("GET "+platformhttp.PathKV+"/{key}", KindGet, s.get)
	s.handle("GET "+platformhttp.PathKV, KindList, s.list)
	s.handle("GET "+platformhttp.PathWatch+"{key}", KindWatch, s.watch)
	s.handle("GET "+platformhttp.PathInstances, KindInstances, s.instances)
	s.handle("PUT "+platformhttp.PathKV+"/{key}", KindPut, s.put)
	s.handle("DELETE "+platformhttp.PathKV+"/{key}", KindDelete, s.deleteKey)
	s.handle("POST "+platformhttp.PathLeases, KindGrant, s.grant)
	s.handle("POST "+platformhttp.PathLeases+"/{id}/renew", KindRenew, s.renew)
	s.handle("DELETE "+platformhttp.PathLeases+"/{id}", KindRevoke, s.revoke)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Listen serves on the address, host:port, until the returned endpoint is closed; port 0 picks a free port. Calls through
// the endpoint count as calls from the zone, whatever zone their header names, unless the zone is empty. A closed
// endpoint refuses connections.
func (s *Server) Listen(address string, zone model.AvailabilityZone) (*netfault.Endpoint, error) {
	e := netfault.NewEndpoint(s.handlerForZone(zone), netfault.Config{})
	if err := e.Open(address); err != nil {
		return nil, err
	}
	return e, nil
}

func (s *Server) handlerForZone(zone model.AvailabilityZone) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if zone != "" {
			r.Header.Set(platformhttp.HeaderZone, string(zone))
		}
		s.ServeHTTP(w, r)
	})
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.table.set(f)
	// SetFaults of the data also wakes the watches, so that they apply the new faults.
	s.data.SetFaults(memplatform.Faults{Down: f.Down, StaleBy: f.StaleBy, ListLag: f.ListLag})
}

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(list []platform.Instance) { s.data.SetInstances(list) }

// Faults returns the active faults.
func (s *Server) Faults() Faults { return s.table.current() }

// Counts returns the counters of the calls by kind.
func (s *Server) Counts() map[Kind]Counts { return s.table.allCounts() }

// Data returns the platform's data, which a test may access without the faults that apply to calls over HTTP.
func (s *Server) Data() *memplatform.Platform { return s.data }
