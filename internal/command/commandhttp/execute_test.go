package commandhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestCommandHTTP(t *testing.T) { suite.Run(t, "./internal/command/commandhttp") }

// stubExecutor returns the same response for every request and keeps the last request.
type stubExecutor struct {
	response execute.Response
	request  execute.Request
}

func (s *stubExecutor) Execute(_ context.Context, req execute.Request) execute.Response {
	s.request = req
	return s.response
}

func post(e commandhttp.Executor, body string, headers map[string]string) *httptest.ResponseRecorder {
	config := tables.NewConfig()
	config.Install(model.NewTopology(7, model.Inventory{Services: []model.ServiceSpec{{Name: "payouts"}}},
		model.Rules{Deadlines: model.DeadlineRule{DefaultMs: 1000, MaxMs: 2000}}))
	mux := http.NewServeMux()
	mux.Handle("POST /v1/services/{service}/execute", &commandhttp.Execute{Config: config, Executor: e})
	r := httptest.NewRequest(http.MethodPost, "/v1/services/payouts/execute", strings.NewReader(body))
	r.Header.Set("X-Caller", "desk")
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

// Guards against the outcome not_run for a retry whose key the daemon did not look up, after an earlier attempt ran.
var _ = DescribeTable("a request rejected before its key is looked up gets not_run only if it is the first attempt",
	func(caller, first, body string, rejection execute.Rejection, outcome model.Outcome) {
		e := &stubExecutor{response: execute.Response{Rejection: rejection}}
		w := post(e, body, map[string]string{"X-Caller": caller, "Idempotency-Key": "k", "X-First-Attempt": first})
		Expect(w.Header().Get("X-Outcome")).To(Equal(string(outcome)))
	},
	Entry("no caller, first", "", "true", `{}`, execute.RejectNone, model.OutcomeNotRun),
	Entry("no caller, retry", "", "false", `{}`, execute.RejectNone, model.OutcomeUnknown),
	Entry("malformed first-attempt header", "desk", "maybe", `{}`, execute.RejectNone, model.OutcomeUnknown),
	Entry("malformed body, retry", "desk", "", `{`, execute.RejectNone, model.OutcomeUnknown),
	Entry("key from the future, first", "desk", "true", `{}`, execute.RejectKeyFromFuture, model.OutcomeNotRun),
	Entry("key from the future, retry", "desk", "false", `{}`, execute.RejectKeyFromFuture, model.OutcomeUnknown),
	Entry("malformed key, which never ran", "desk", "false", `{}`, execute.RejectMalformedKey, model.OutcomeNotRun),
)

var _ = Describe("POST /v1/services/{service}/execute", func() {
	// Guards against an outcome that the status or a header contradicts, and against a field of the request that is not passed on.
	DescribeTable("reports the outcome in status, headers and body",
		func(a execute.Response, status int, retryAfter, body string) {
			a.RequestID = "r"
			e := &stubExecutor{response: a}
			w := post(e, `{"routing_key":"account-7","body":"b"}`, map[string]string{"Idempotency-Key": "k", "X-First-Attempt": "true"})
			Expect([]any{e.request.Key, e.request.RoutingKey, e.request.Body, e.request.FirstAttempt}).
				To(Equal([]any{"k", "account-7", "b", true}))
			Expect(w.Code).To(Equal(status))
			Expect(w.Header().Get("X-Outcome")).To(Equal(string(a.Outcome)))
			Expect(w.Header().Get("Retry-After")).To(Equal(retryAfter))
			Expect(w.Body.String()).To(MatchJSON(body))
		},
		Entry("done", response(model.OutcomeComplete, "", "receipt", 0), 200, "",
			`{"request_id":"r","outcome":"complete","config_revision":7,"result":"receipt","recorded":false}`),
		Entry("not run", response(model.OutcomeNotRun, "shed", "", 1500*time.Millisecond), 503, "2",
			`{"request_id":"r","outcome":"not_run","reason":"shed","config_revision":7,"result":"","recorded":false,
			"retry_after_ms":1500}`),
		Entry("unknown", response(model.OutcomeUnknown, "lost", "", time.Second), 504, "1",
			`{"request_id":"r","outcome":"unknown","reason":"lost","config_revision":7,"result":"","recorded":false,
			"retry_after_ms":1000}`),
	)

	// Guards against a rejection that does not identify the error in the request.
	DescribeTable("rejects a request with status 400 and a code",
		func(rejection execute.Rejection, body, first, code string) {
			w := post(&stubExecutor{response: execute.Response{Rejection: rejection}}, body,
				map[string]string{commandhttp.HeaderFirstAttempt: first})
			Expect(w.Code).To(Equal(http.StatusBadRequest))
			Expect(w.Body.String()).To(ContainSubstring(`"code":"` + code + `"`))
		},
		Entry("no key", execute.RejectMissingKey, `{}`, "", "missing_key"),
		Entry("malformed key", execute.RejectMalformedKey, `{}`, "", "malformed_key"),
		Entry("key from the future", execute.RejectKeyFromFuture, `{}`, "", "key_from_future"),
		Entry("other content", execute.RejectContentMismatch, `{}`, "", "key_used_for_other_content"),
		Entry("unknown field", execute.RejectNone, `{"routing":"k"}`, "", "malformed_body"),
		Entry("first attempt neither true nor false", execute.RejectNone, `{}`, "yes", "bad_first_attempt"),
	)
})

func response(o model.Outcome, reason, result string, retryAfter time.Duration) execute.Response {
	return execute.Response{ExecutionResult: tables.ExecutionResult{
		Outcome: o, Reason: reason, Result: result, RetryAfter: retryAfter,
	}}
}
