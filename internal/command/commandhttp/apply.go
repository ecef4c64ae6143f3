package commandhttp

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
)

// maxConfigBytes bounds an operator's request, which carries a whole inventory.
const maxConfigBytes = 64 << 20

// ApplyRequest is the body of POST /v1/config/apply.
type ApplyRequest struct {
	Inventory model.Inventory `json:"inventory"`
	Rules     model.Rules     `json:"rules"`
	Expect    model.Revision  `json:"expect"`
	Editor    string          `json:"editor"`
	Reason    string          `json:"reason"`
}

// ApplyResponse is its reply.
type ApplyResponse struct {
	Verdict configure.Verdict `json:"verdict"`
	Root    *configdoc.Root   `json:"root,omitempty"`
	Detail  string            `json:"detail,omitempty"`
}

// Apply serves POST /v1/config/apply.
type Apply struct {
	Configurer *configure.Configurer
}

// ServeHTTP implements http.Handler.
func (h *Apply) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body ApplyRequest
	if problem := httpapi.DecodeLimited(w, r, &body, maxConfigBytes); problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	result := h.Configurer.Apply(r.Context(), configure.Change(body))
	httpapi.WriteJSON(w, applyStatus(result.Verdict), ApplyResponse(result))
}

func applyStatus(v configure.Verdict) int {
	switch v {
	case configure.Accepted:
		return http.StatusOK
	case configure.NotAccepted:
		return http.StatusConflict
	case configure.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}
