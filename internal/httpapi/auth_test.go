package httpapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestHTTPAPI(t *testing.T) { suite.Run(t, "./internal/httpapi") }

// Guards against a reader that can change the configuration, and against an empty token that opens a port.
var _ = DescribeTable("tokens of the operators' port",
	func(tokens httpapi.Tokens, method, header string, status int) {
		reached := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		r := httptest.NewRequest(method, "/v1/config", nil)
		if header != "" {
			r.Header.Set("Authorization", header)
		}
		w := httptest.NewRecorder()
		tokens.Authorize(reached).ServeHTTP(w, r)
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).NotTo(ContainSubstring("secret"))
	},
	Entry("change with the changing token", both, "POST", "Bearer change-secret", http.StatusOK),
	Entry("change with another case of the scheme", both, "POST", "bearer change-secret", http.StatusOK),
	Entry("change with the reading token", both, "POST", "Bearer read-secret", http.StatusForbidden),
	Entry("delete with the reading token", both, "DELETE", "Bearer read-secret", http.StatusForbidden),
	Entry("change with a prefix of the token", both, "POST", "Bearer change-secre", http.StatusUnauthorized),
	Entry("change without a token", both, "POST", "", http.StatusUnauthorized),
	Entry("read with the changing token", both, "GET", "Bearer change-secret", http.StatusOK),
	Entry("read with the reading token", both, "GET", "Bearer read-secret", http.StatusOK),
	Entry("read with an empty token", both, "GET", "Bearer ", http.StatusUnauthorized),
	Entry("read with another scheme", both, "GET", "Basic read-secret", http.StatusUnauthorized),
	Entry("read with an empty token and no reading token", changeOnly, "GET", "Bearer ", http.StatusUnauthorized),
	Entry("change with an empty token and no reading token", changeOnly, "POST", "Bearer ", http.StatusUnauthorized),
	Entry("open port", httpapi.Tokens{}, "POST", "", http.StatusOK),
)

var (
	both       = httpapi.Tokens{ReadWrite: "change-secret", ReadOnly: "read-secret"}
	changeOnly = httpapi.Tokens{ReadWrite: "change-secret"}
)
