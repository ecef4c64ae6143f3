package commandhttp

import (
	"net/http"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// maxConfigBytes bounds the body of an ApplyRequest, which carries a whole inventory.
const maxConfigBytes = 64 << 20

// ApplyRequest is the body of POST /v1/config/apply.
type ApplyRequest struct {
	Inventory model.Inventory `json:"inventory"`
	Rules     model.Rules     `json:"rules"`
	Expect    model.Revision  `json:"expect"`
	Editor    string          `json:"editor"`
	Reason    string          `json:"reason"`
	Merge     bool            `json:"merge,omitempty"`
}

// RollbackRequest is the body of POST /v1/config/rollback.
type RollbackRequest struct {
	To     model.Revision `json:"to"`
	Expect model.Revision `json:"expect"`
	Editor string         `json:"editor"`
	Reason string         `json:"reason"`
}

// ApplyResponse is the response to ApplyRequest and RollbackRequest. Its fields have the meaning of those of
// configure.Result.
type ApplyResponse struct {
	Verdict  configure.Verdict    `json:"verdict"`
	Cause    configure.Cause      `json:"cause,omitempty"`
	Root     *configdoc.Root      `json:"root,omitempty"`
	Repeated bool                 `json:"repeated,omitempty"`
	Merged   bool                 `json:"merged,omitempty"`
	Current  *configdoc.Root      `json:"current,omitempty"`
	Others   []configdoc.Change   `json:"others,omitempty"`
	Parts    []configdoc.PartName `json:"parts,omitempty"`
	Problems validation.Problems  `json:"problems,omitempty"`
	Detail   string               `json:"detail,omitempty"`
}

// Apply serves POST /v1/config/apply.
type Apply struct {
	Configurer *configure.Configurer
	Log        zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (h *Apply) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body ApplyRequest
	if problem := httpapi.DecodeBodyLimit(w, r, &body, maxConfigBytes); problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	result := h.Configurer.Apply(r.Context(), configure.Change(body))
	resultEvent(h.Log, body.Editor, body.Expect, result).Msg("config_apply")
	writeResult(w, result)
}

// Rollback serves POST /v1/config/rollback.
type Rollback struct {
	Configurer *configure.Configurer
	Log        zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (h *Rollback) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body RollbackRequest
	if problem := httpapi.DecodeBody(w, r, &body); problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	result := h.Configurer.Rollback(r.Context(), configure.Rollback(body))
	resultEvent(h.Log, body.Editor, body.Expect, result).Msg("config_rollback")
	writeResult(w, result)
}

func resultEvent(log zerolog.Logger, editor string, expect model.Revision, result configure.Result) *zerolog.Event {
	event := log.Info().Str("editor", editor).Uint64("expect", uint64(expect)).Str("verdict", string(result.Verdict))
	if result.Cause != "" {
		event = event.Str("cause", string(result.Cause))
	}
	if result.Root != nil {
		event = event.Uint64("revision", uint64(result.Root.Revision)).Bool("repeated", result.Repeated)
	}
	return event
}

func writeResult(w http.ResponseWriter, result configure.Result) {
	httpapi.WriteJSON(w, statusOf(result), ApplyResponse(result))
}

func statusOf(result configure.Result) int {
	switch result.Verdict {
	case configure.Accepted:
		return http.StatusOK
	case configure.Unknown:
		return http.StatusGatewayTimeout
	case configure.NotAccepted:
	}
	switch result.Cause {
	case configure.CauseInvalid:
		return http.StatusUnprocessableEntity
	case configure.CauseConflict, configure.CauseRevisionAhead:
		return http.StatusConflict
	case configure.CauseNoRevision:
		return http.StatusNotFound
	case configure.CauseUnavailable:
	}
	return http.StatusServiceUnavailable
}
