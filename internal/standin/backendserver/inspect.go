package backendserver

import (
	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/standin/netfault"
)

// Faults returns the active faults.
func (s *Server) Faults() Faults { return s.state.current() }

// Record returns the record that lists the server's executions.
func (s *Server) Record() *Record { return s.cfg.Record }

// Load returns the server's actual load, whatever load it reports.
func (s *Server) Load() backend.Load { return s.actualLoad() }

// Connections returns the connection counters, which start at 0 each time the server starts.
func (s *Server) Connections() netfault.Counts { return s.endpoint.Counts() }
