package commandhttp

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/command/drain"
	"oleandersill.example/oleandersill/internal/httpapi"
)

// DrainResponse is the response to POST /v1/drain.
type DrainResponse struct {
	// Started is false if the daemon was already draining.
	Started bool `json:"started"`
}

// Drain serves POST /v1/drain. It responds immediately; the daemon exits when the drain has ended.
type Drain struct {
	Drainer *drain.Drainer
}

// ServeHTTP implements http.Handler.
func (h *Drain) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusAccepted, DrainResponse{Started: h.Drainer.Start("operator")})
}
