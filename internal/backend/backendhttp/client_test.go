package backendhttp_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestBackendHTTP(t *testing.T) { suite.Run(t, "./internal/backend/backendhttp") }

var _ = Describe("a backend server over HTTP", func() {
	contract.Backend(func() *contract.BackendHarness {
		server := backendserver.New(contract.BackendConfig())
		DeferCleanup(server.Close)
		Expect(server.Start("127.0.0.1:0")).To(Succeed())
		connector := &backendhttp.Connector{}
		DeferCleanup(connector.Close)
		return &contract.BackendHarness{
			Server: server,
			Connect: func(connections int) backend.Server {
				spec := model.ServerSpec{Name: "a", Address: server.Address()}
				return connector.Connect(&model.Server{ServerSpec: &spec}, connections)
			},
			CloseIdleConnections: connector.Close,
		}
	})
})

// Guards against merging a reply to another attempt, against reusing its connection, and against treating a refusal as a
// proof that the request did not run.
var _ = DescribeTable("a reply to attempt r/1/1",
	func(ctx SpecContext, header, body uint32, code int, want backend.Status, keepsConnection bool) {
		attempt := func(n uint32) backend.AttemptID {
			return backend.AttemptID{Request: "r", Incarnation: 1, Attempt: n}
		}
		var requests, closed atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			w.Header().Set(backendhttp.HeaderAttempt, backendhttp.AttemptHeader(attempt(header)))
			w.Header().Set("Location", "/v1/execute")
			w.WriteHeader(code)
			_ = json.NewEncoder(w).Encode(backendhttp.ExecuteReplyBody{ID: attempt(body), Result: "receipt"})
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed.Add(1)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		connector := &backendhttp.Connector{}
		DeferCleanup(connector.Close)
		spec := model.ServerSpec{Name: "a", Address: server.Listener.Addr().String()}
		client := connector.Connect(&model.Server{ServerSpec: &spec}, 1)
		result := client.Execute(ctx, backend.ExecuteRequest{ID: attempt(1), Deadline: time.Now().Add(time.Hour)})
		Expect(result.Status).To(Equal(want))
		Expect(requests.Load()).To(Equal(int32(1)), "requests")
		if keepsConnection {
			Consistently(closed.Load, "50ms").Should(BeZero())
			return
		}
		Eventually(closed.Load, "5s").Should(Equal(int32(1)))
	},
	Entry("with the header and body of the attempt", uint32(1), uint32(1), http.StatusOK, backend.StatusOK, true),
	Entry("with the header of another attempt", uint32(2), uint32(1), http.StatusOK, backend.StatusMismatched, false),
	Entry("with the header of another attempt and no body", uint32(2), uint32(1), http.StatusNoContent, backend.StatusMismatched, false),
	Entry("with the body of another attempt", uint32(1), uint32(2), http.StatusOK, backend.StatusMismatched, false),
	Entry("that is a refusal without \"ran\": false", uint32(1), uint32(1), http.StatusServiceUnavailable, backend.StatusFailed, true),
	Entry("that is a redirect", uint32(1), uint32(1), http.StatusTemporaryRedirect, backend.StatusFailed, true),
)
