package backendserver

import (
	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/standin/netfault"
)

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.state.current() }

// Record returns the record that the server's executions are listed in.
func (s *Server) Record() *Record { return s.cfg.Record }

// Load returns the server's true load, whatever it reports.
func (s *Server) Load() backend.Load { return s.actualLoad() }

// Connections returns the counters of the listener; they start at 0 with each start.
func (s *Server) Connections() netfault.Counts { return s.endpoint.Counts() }
