package commandhttp

import (
	"context"
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// HeaderFirstAttempt is the header with which a caller states, by the value "true", that it never sent the idempotency key
// before, or only with the outcome not_run. Without it, a request that ends before its claim is held gets the outcome
// unknown instead of not_run.
const HeaderFirstAttempt = "X-First-Attempt"

// ExecuteRequest is the body of a non-idempotent request.
type ExecuteRequest struct {
	// RoutingKey selects the shard; without it, the idempotency key does.
	RoutingKey string `json:"routing_key,omitempty"`
	// Body is passed to the server unchanged.
	Body string `json:"body"`
}

// ExecuteResponse is the body of the response.
type ExecuteResponse struct {
	RequestID model.RequestID `json:"request_id"`
	Outcome   model.Outcome   `json:"outcome"`
	Reason    string          `json:"reason,omitempty"`
	Revision  model.Revision  `json:"config_revision"`
	// Result is the server's result if the outcome is complete.
	Result string `json:"result"`
	// Recorded means that the request ran earlier and its recorded result is returned.
	Recorded     bool  `json:"recorded"`
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Executor runs non-idempotent requests; execute.Executor implements it.
type Executor interface {
	Execute(ctx context.Context, req execute.Request) execute.Response
}

// Execute serves POST /v1/services/{service}/execute.
type Execute struct {
	Config   *tables.Config
	Executor Executor
}

// ServeHTTP implements http.Handler.
func (h *Execute) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topology := h.Config.Current()
	call, problem := httpapi.ParseRequestParams(r, topology)
	if problem != nil {
		reject(w, r, problem)
		return
	}
	first, problem := readFirstAttempt(r.Header.Get(HeaderFirstAttempt))
	if problem != nil {
		reject(w, r, problem)
		return
	}
	var body ExecuteRequest
	if problem := httpapi.DecodeBody(w, r, &body); problem != nil {
		reject(w, r, problem)
		return
	}
	response := h.Executor.Execute(r.Context(), execute.Request{
		Caller:       call.Caller,
		Rank:         call.Rank,
		Service:      call.Service,
		Topology:     topology,
		Key:          r.Header.Get(httpapi.HeaderIdempotencyKey),
		RoutingKey:   body.RoutingKey,
		Body:         body.Body,
		Deadline:     call.Deadline,
		FirstAttempt: first,
	})
	if response.Rejection != execute.RejectNone {
		problem := httpapi.BadRequest(string(response.Rejection), rejectionDetail(response.Rejection))
		if response.Rejection == execute.RejectKeyFromFuture {
			// An earlier attempt may have run through a daemon whose clock is ahead.
			reject(w, r, problem)
			return
		}
		httpapi.WriteProblem(w, problem)
		return
	}
	writeResponse(w, topology.Revision, response)
}

// reject responds to a request whose key was not looked up. An earlier attempt with the key may have run, so only the
// caller's statement that there was none proves that nothing ran.
func reject(w http.ResponseWriter, r *http.Request, problem *httpapi.Problem) {
	outcome := model.OutcomeUnknown
	if first, malformed := readFirstAttempt(r.Header.Get(HeaderFirstAttempt)); malformed == nil && first {
		outcome = model.OutcomeNotRun
	}
	httpapi.WriteProblemWithOutcome(w, problem, outcome)
}

func readFirstAttempt(value string) (bool, *httpapi.Problem) {
	switch value {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, httpapi.BadRequest("bad_first_attempt", HeaderFirstAttempt+" must be true or false")
}

func rejectionDetail(r execute.Rejection) string {
	switch r {
	case execute.RejectMissingKey:
		return httpapi.HeaderIdempotencyKey + " is required"
	case execute.RejectMalformedKey:
		return httpapi.HeaderIdempotencyKey + " must be a UUIDv7"
	case execute.RejectKeyFromFuture:
		return "the time of the key is more than 5 minutes ahead"
	case execute.RejectContentMismatch:
		return "the key was used for a request with other content"
	case execute.RejectNone:
	}
	return ""
}

func writeResponse(w http.ResponseWriter, revision model.Revision, response execute.Response) {
	w.Header().Set(httpapi.HeaderOutcome, string(response.Outcome))
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", httpapi.RetryAfterSeconds(response.RetryAfter))
	}
	httpapi.WriteJSON(w, httpapi.StatusOf(response.Outcome), ExecuteResponse{
		RequestID:    response.RequestID,
		Outcome:      response.Outcome,
		Reason:       response.Reason,
		Revision:     revision,
		Result:       response.Result,
		Recorded:     response.Recorded,
		RetryAfterMs: int64(response.RetryAfter / time.Millisecond),
	})
}
