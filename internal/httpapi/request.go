package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Headers of the callers' API.
const (
	HeaderCaller         = "X-Caller"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderOutcome        = "X-Outcome"
	HeaderCoverage       = "X-Coverage"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// RequestParams are the parameters that all callers' requests have in common.
type RequestParams struct {
	Caller   model.CallerName
	Rank     model.Rank
	Service  *model.Service
	Deadline time.Time
}

// ParseRequestParams parses a request's caller, service and deadline by the configuration in force. t is nil if there is
// none.
func ParseRequestParams(r *http.Request, t *model.Topology) (RequestParams, *Problem) {
	if t == nil {
		return RequestParams{}, NotReady()
	}
	caller := model.CallerName(r.Header.Get(HeaderCaller))
	if caller == "" {
		return RequestParams{}, &Problem{Status: http.StatusUnauthorized, Code: "missing_caller", Detail: HeaderCaller + " is required"}
	}
	service := t.Service(model.ServiceName(r.PathValue("service")))
	if service == nil {
		return RequestParams{}, &Problem{Status: http.StatusNotFound, Code: "unknown_service", Detail: r.PathValue("service")}
	}
	d, problem := parseDeadline(r.Header.Get(HeaderDeadline), t.Rules.Deadlines)
	if problem != nil {
		return RequestParams{}, problem
	}
	return RequestParams{Caller: caller, Rank: t.RankOf(caller), Service: service, Deadline: time.Now().Add(d)}, nil
}

// parseDeadline returns the time until the deadline that a header states, or the default if the header is empty.
func parseDeadline(value string, rule model.DeadlineRule) (time.Duration, *Problem) {
	if value == "" {
		return time.Duration(rule.DefaultMs) * time.Millisecond, nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 1 || ms > rule.MaxMs {
		return 0, BadRequest("bad_deadline", HeaderDeadline+" must be from 1 to "+strconv.Itoa(rule.MaxMs))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
