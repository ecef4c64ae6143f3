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

// Guards against a read-only token that allows changes, and against an empty token that is accepted.
var _ = DescribeTable("authorization on the operators' port",
	func(tokens httpapi.Tokens, method, header string, status int) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		r := httptest.NewRequest(method, "/v1/config", nil)
		if header != "" {
			r.Header.Set("Authorization", header)
		}
		w := httptest.NewRecorder()
		tokens.Authorize(handler).ServeHTTP(w, r)
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).NotTo(ContainSubstring("secret"))
	},
	Entry("change with the read-write token", bothTokens, "POST", "Bearer change-secret", http.StatusOK),
	Entry("change with another case of the scheme", bothTokens, "POST", "bearer change-secret", http.StatusOK),
	Entry("change with the read-only token", bothTokens, "POST", "Bearer read-secret", http.StatusForbidden),
	Entry("delete with the read-only token", bothTokens, "DELETE", "Bearer read-secret", http.StatusForbidden),
	Entry("change with a prefix of the token", bothTokens, "POST", "Bearer change-secre", http.StatusUnauthorized),
	Entry("change without a token", bothTokens, "POST", "", http.StatusUnauthorized),
	Entry("read with the read-write token", bothTokens, "GET", "Bearer change-secret", http.StatusOK),
	Entry("read with the read-only token", bothTokens, "GET", "Bearer read-secret", http.StatusOK),
	Entry("read with an empty token", bothTokens, "GET", "Bearer ", http.StatusUnauthorized),
	Entry("read with another scheme", bothTokens, "GET", "Basic read-secret", http.StatusUnauthorized),
	Entry("read with an empty token and no read-only token", noReadOnly, "GET", "Bearer ", http.StatusUnauthorized),
	Entry("change with an empty token and no read-only token", noReadOnly, "POST", "Bearer ", http.StatusUnauthorized),
	Entry("change without configured tokens", httpapi.Tokens{}, "POST", "", http.StatusOK),
)

var (
	bothTokens = httpapi.Tokens{ReadWrite: "change-secret", ReadOnly: "read-secret"}
	noReadOnly = httpapi.Tokens{ReadWrite: "change-secret"}
)
