package queryhttp

import (
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/query/status"
)

// Status serves GET /v1/status.
type Status struct {
	Reader *status.Reader
}

// ServeHTTP implements http.Handler.
func (h *Status) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, h.Reader.Read(time.Now()))
}

// ReadyResponse is the reply to GET /readyz.
type ReadyResponse struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Ready serves GET /readyz.
type Ready struct {
	Reader *status.Reader
}

// ServeHTTP implements http.Handler.
func (h *Ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reason := h.Reader.NotReadyReason()
	if reason != "" {
		httpapi.WriteJSON(w, http.StatusServiceUnavailable, ReadyResponse{Reason: reason})
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, ReadyResponse{Ready: true})
}
