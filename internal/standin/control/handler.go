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

// Handler serves the control API of a site. Create it with New.
type Handler struct {
	mux  *http.ServeMux
	site *site.Site
	log  zerolog.Logger
}

// New returns a handler for the control API of a site. It logs each command.
func New(s *site.Site, log zerolog.Logger) *Handler {
	h := &Handler{mux: http.NewServeMux(), site: s, log: log}
	h.mux.HandleFunc("PUT /v1/servers/{name}/faults", h.withServer(h.setServerFaults))
	h.mux.HandleFunc("POST /v1/servers/{name}/crash", h.withServer(h.crash))
	h.mux.HandleFunc("POST /v1/servers/{name}/restart", h.withServer(h.restart))
	h.mux.HandleFunc("PUT /v1/servers/{name}/version", h.withServer(h.setVersion))
	h.mux.HandleFunc("PUT /v1/servers/{name}/shard", h.withServer(h.setShard))
	h.mux.HandleFunc("PUT /v1/platform/faults", h.setPlatformFaults)
	h.mux.HandleFunc("PUT /v1/platform/instances", h.setInstances)
	h.mux.HandleFunc("GET /v1/servers/{name}", h.withServer(h.serverState))
	h.mux.HandleFunc("GET /v1/platform", h.platformCounts)
	h.mux.HandleFunc("GET /v1/executions", h.executions)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// withServer returns a handler that calls f with the server that the path names, or answers with 404 if there is none.
func (h *Handler) withServer(
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

// decode decodes the body, or answers with 400 and returns false. Unknown fields are errors, so that a misspelt fault is
// not ignored.
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
	// If the write fails, the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
