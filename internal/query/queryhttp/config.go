package queryhttp

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/audit"
	"oleandersill.example/oleandersill/internal/query/configread"
)

// CodeNoConfiguration is the code of the problem that reports that there is no configuration yet.
const CodeNoConfiguration = "no_configuration"

// ConfigResponse is the reply to GET /v1/config?revision=N. Without the parameter it has the current revision.
type ConfigResponse struct {
	Revision model.Revision `json:"revision"`
	// Root is absent if the store could not be read and the reply has the revision that the daemon has in force.
	Root      *configdoc.Root   `json:"root,omitempty"`
	Source    configread.Source `json:"source"`
	Inventory model.Inventory   `json:"inventory"`
	Rules     model.Rules       `json:"rules"`
}

// Config serves GET /v1/config.
type Config struct {
	Reader configread.Reader
}

// ServeHTTP implements http.Handler.
func (h *Config) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	revision, problem := parseUintParam(r, "revision")
	if problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	c, err := h.Reader.Get(r.Context(), model.Revision(revision))
	if err != nil {
		httpapi.WriteProblem(w, problemOf(err))
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, ConfigResponse{
		Revision: c.Revision, Root: c.Root, Source: c.Source, Inventory: c.Inventory, Rules: c.Rules,
	})
}

// AuditResponse is the reply to GET /v1/audit?from=HASH&limit=N. Without a hash the trail starts at the current revision.
type AuditResponse struct {
	Changes []configdoc.Change `json:"changes"`
	// Next is the value of from for the next page; absent at the end of the trail.
	Next configdoc.Hash `json:"next,omitempty"`
}

// Audit serves GET /v1/audit.
type Audit struct {
	Lister audit.Lister
}

// ServeHTTP implements http.Handler.
func (h *Audit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit, problem := parseUintParam(r, "limit")
	if problem == nil && limit > audit.MaxLimit {
		problem = httpapi.BadRequest("bad_limit", "limit must be at most "+strconv.Itoa(audit.MaxLimit))
	}
	from := configdoc.Hash(r.URL.Query().Get("from"))
	if problem == nil && from != "" && !configdoc.IsHash(from) {
		problem = httpapi.BadRequest("bad_from", "from must be the hash of a root")
	}
	if problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	page, err := h.Lister.List(r.Context(), from, int(limit)) //nolint:gosec // at most audit.MaxLimit
	if err != nil {
		httpapi.WriteProblem(w, problemOf(err))
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, AuditResponse(page))
}

func parseUintParam(r *http.Request, name string) (uint64, *httpapi.Problem) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, httpapi.BadRequest("bad_"+name, name+" must be a whole number, not below 0")
	}
	return n, nil
}

func problemOf(err error) *httpapi.Problem {
	p := &httpapi.Problem{Status: http.StatusServiceUnavailable, Code: "store_unavailable", Detail: err.Error()}
	switch {
	case errors.Is(err, configread.ErrNoConfiguration):
		p.Status, p.Code = http.StatusNotFound, CodeNoConfiguration
	case errors.Is(err, configstore.ErrNoRevision):
		p.Status, p.Code = http.StatusNotFound, "no_such_revision"
	case errors.Is(err, configstore.ErrCollected):
		p.Status, p.Code = http.StatusGone, "no_longer_kept"
	}
	return p
}
