package control

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

func (h *Handler) serverState(w http.ResponseWriter, _ *http.Request, s *backendserver.Server) {
	connections := s.Connections()
	reply(w, ServerState{
		Load:                s.Load(),
		OpenConnections:     connections.Open,
		PeakConnections:     connections.Peak,
		AcceptedConnections: connections.Accepted,
		RefusedConnections:  connections.Refused,
	})
}

func (h *Handler) platformCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.site.Platform.Counts())
}

func (h *Handler) executions(w http.ResponseWriter, _ *http.Request) {
	counts := h.site.Record.Counts()
	reply(w, Executions{Started: counts.Started, ByEnd: counts.ByEnd, RunsByKey: h.site.Record.RunsByKey()})
}
