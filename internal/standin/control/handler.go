package control

import (
	"encoding/json"
	"net/http"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/site"
)

const maxBodyBytes = 8 << 20

// Handler serves the control of a site. Create it with New.
type Handler struct {
	mux  *http.ServeMux
	site *site.Site
	log  zerolog.Logger
}

// New returns the control of a site; each command is logged.
func New(s *site.Site, log zerolog.Logger) *Handler {
	h := &Handler{mux: http.NewServeMux(), site: s, log: log}
	h.mux.HandleFunc("PUT /v1/servers/{name}/faults", h.onServer(h.setServerFaults))
	h.mux.HandleFunc("POST /v1/servers/{name}/crash", h.onServer(h.crash))
	h.mux.HandleFunc("POST /v1/servers/{name}/restart", h.onServer(h.restart))
	h.mux.HandleFunc("PUT /v1/servers/{name}/version", h.onServer(h.setVersion))
	h.mux.HandleFunc("PUT /v1/servers/{name}/shard", h.onServer(h.setShard))
	h.mux.HandleFunc("PUT /v1/platform/faults", h.setPlatformFaults)
	h.mux.HandleFunc("PUT /v1/platform/instances", h.setInstances)
	h.mux.HandleFunc("GET /v1/servers/{name}", h.onServer(h.serverState))
	h.mux.HandleFunc("GET /v1/platform", h.platformCounts)
	h.mux.HandleFunc("GET /v1/executions", h.executions)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// onServer finds the server that the path names.
func (h *Handler) onServer(
	f func(http.ResponseWriter, *http.Request, *backendserver.Server),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		server := h.site.Server(model.ServerName(r.PathValue("name")))
		if server == nil {
			http.Error(w, "no such server", http.StatusNotFound)
			return
		}
		f(w, r, server)
	}
}

// decode reads a body strictly, so that a misspelt fault is not taken for none.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client is gone if the write fails.
	_ = json.NewEncoder(w).Encode(v)
}
