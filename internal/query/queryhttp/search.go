package queryhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/scatter"
	"oleandersill.example/oleandersill/internal/tables"
)

// MaxLimit is the maximum number of items that a caller may ask for.
const MaxLimit = 10_000

// SearchRequest is the body of a query.
type SearchRequest struct {
	Text  string `json:"text"`
	Limit int    `json:"limit"`
}

// SearchResponse is the body of the answer to a query.
type SearchResponse struct {
	RequestID    model.RequestID     `json:"request_id"`
	Outcome      model.Outcome       `json:"outcome"`
	Reason       string              `json:"reason,omitempty"`
	Revision     model.Revision      `json:"config_revision"`
	Epoch        model.ShardMapEpoch `json:"shard_map_epoch"`
	Version      model.IndexVersion  `json:"index_version"`
	Coverage     model.Coverage      `json:"coverage"`
	Items        []model.Item        `json:"items"`
	RetryAfterMs int64               `json:"retry_after_ms,omitempty"`
}

// Search serves POST /v1/services/{service}/query.
type Search struct {
	Config   *tables.Config
	Searcher *scatter.Searcher
}

// ServeHTTP implements http.Handler.
func (h *Search) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topology := h.Config.Current()
	call, problem := httpapi.ParseRequestParams(r, topology)
	if problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	var body SearchRequest
	if problem := httpapi.DecodeBody(w, r, &body); problem != nil {
		httpapi.WriteProblem(w, problem)
		return
	}
	if body.Limit < 1 || body.Limit > MaxLimit {
		httpapi.WriteProblem(w, httpapi.BadRequest("bad_limit", "limit must be from 1 to "+strconv.Itoa(MaxLimit)))
		return
	}
	answer := h.Searcher.Search(r.Context(), scatter.Request{
		Caller:   call.Caller,
		Rank:     call.Rank,
		Service:  call.Service,
		Topology: topology,
		Text:     body.Text,
		Limit:    body.Limit,
		Deadline: call.Deadline,
	})
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, a scatter.Answer) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(httpapi.HeaderOutcome, string(a.Outcome))
	h.Set(httpapi.HeaderCoverage, strconv.FormatFloat(a.Coverage.Fraction, 'f', 6, 64))
	if a.Outcome == model.OutcomeNotRun {
		h.Set("Retry-After", httpapi.RetryAfterSeconds(a.RetryAfter))
	}
	w.WriteHeader(httpapi.StatusOf(a.Outcome))
	// If the write fails, the caller has disconnected.
	_ = json.NewEncoder(w).Encode(SearchResponse{
		RequestID:    a.RequestID,
		Outcome:      a.Outcome,
		Reason:       string(a.Reason),
		Revision:     a.Revision,
		Epoch:        a.Epoch,
		Version:      a.Version,
		Coverage:     a.Coverage,
		Items:        a.Items,
		RetryAfterMs: int64(a.RetryAfter / time.Millisecond),
	})
}
