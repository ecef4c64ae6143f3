package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Headers of the callers' interface.
const (
	HeaderCaller   = "X-Caller"
	HeaderDeadline = "X-Deadline-Ms"
	HeaderOutcome  = "X-Outcome"
	HeaderCoverage = "X-Coverage"
	HeaderKey      = "Idempotency-Key"
)

// Call is what every caller's request states.
type Call struct {
	Caller   model.CallerName
	Rank     model.Rank
	Service  *model.Service
	Deadline time.Time
}

// ReadCall reads a request's caller, service and deadline, by the rules in force.
func ReadCall(r *http.Request, t *model.Topology) (Call, *Problem) {
	if t == nil {
		return Call{}, NotReady()
	}
	caller := model.CallerName(r.Header.Get(HeaderCaller))
	if caller == "" {
		return Call{}, &Problem{Status: http.StatusUnauthorized, Code: "missing_caller", Detail: HeaderCaller + " is required"}
	}
	service := t.Service(model.ServiceName(r.PathValue("service")))
	if service == nil {
		return Call{}, &Problem{Status: http.StatusNotFound, Code: "unknown_service", Detail: r.PathValue("service")}
	}
	d, problem := readDeadline(r.Header.Get(HeaderDeadline), t.Rules.Deadlines)
	if problem != nil {
		return Call{}, problem
	}
	return Call{Caller: caller, Rank: t.RankOf(caller), Service: service, Deadline: time.Now().Add(d)}, nil
}

func readDeadline(value string, rule model.DeadlineRule) (time.Duration, *Problem) {
	if value == "" {
		return time.Duration(rule.DefaultMs) * time.Millisecond, nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 1 || ms > rule.MaxMs {
		return 0, BadRequest("bad_deadline", HeaderDeadline+" must be from 1 to "+strconv.Itoa(rule.MaxMs))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
