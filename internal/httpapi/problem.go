package httpapi

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxBodyBytes bounds a caller's request body.
const MaxBodyBytes = 1 << 20

// Problem is the response to a request that was rejected before any of it was run.
type Problem struct {
	Status int    `json:"-"`
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

// BadRequest returns a problem with status 400.
func BadRequest(code, detail string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: code, Detail: detail}
}

// NotReady returns the problem of a daemon without a configuration.
func NotReady() *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Code: "not_ready", Detail: "no configuration in force"}
}

// WriteProblem writes a problem as the response, with outcome not_run.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	WriteProblemWithOutcome(w, p, model.OutcomeNotRun)
}

// WriteProblemWithOutcome writes a problem as the response, with the given outcome. It is not model.OutcomeNotRun if an earlier
// attempt of the request may have run.
func WriteProblemWithOutcome(w http.ResponseWriter, p *Problem, outcome model.Outcome) {
	w.Header().Set(HeaderOutcome, string(outcome))
	WriteJSON(w, p.Status, p)
}

// WriteJSON writes a value as the response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the client has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(v)
}

// DecodeBody decodes a request's JSON body of at most MaxBodyBytes. Unknown fields are errors.
func DecodeBody(w http.ResponseWriter, r *http.Request, into any) *Problem {
	return DecodeBodyLimit(w, r, into, MaxBodyBytes)
}

// DecodeBodyLimit is like DecodeBody with a limit on the size of the body, in bytes.
func DecodeBodyLimit(w http.ResponseWriter, r *http.Request, into any, limit int64) *Problem {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Detail: err.Error()}
	}
	if err != nil {
		return BadRequest("malformed_body", err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return BadRequest("malformed_body", "trailing data after the JSON value")
	}
	return nil
}

// StatusOf returns the HTTP status of an outcome. A partial answer also has status 200, since 206 is for byte ranges; the
// X-Outcome header and the body mark it as partial.
func StatusOf(o model.Outcome) int {
	switch o {
	case model.OutcomeComplete, model.OutcomePartial:
		return http.StatusOK
	case model.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case model.OutcomeFailed:
		return http.StatusBadGateway
	case model.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// RetryAfterSeconds formats a delay for the Retry-After header, in whole seconds rounded up.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
