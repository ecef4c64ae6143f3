package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Tokens are the bearer tokens of the operators' port, sent as "Authorization: Bearer TOKEN".
type Tokens struct {
	// ReadWrite allows changes and reads. If it is empty, requests need no token; the settings allow that only on a loopback
	// address.
	ReadWrite string
	// ReadOnly allows only reads. If it is empty, there is no such token.
	ReadOnly string
}

// Authorize wraps h to accept reads (GET and HEAD) with either token, and all other requests only with ReadWrite.
func (t Tokens) Authorize(h http.Handler) http.Handler {
	write, read := t.requireReadWrite(h), t.requireAny(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			read.ServeHTTP(w, r)
			return
		}
		write.ServeHTTP(w, r)
	})
}

// requireReadWrite wraps h to accept only requests that carry ReadWrite.
func (t Tokens) requireReadWrite(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch given := bearerToken(r); {
		case t.ReadWrite == "" || equalTokens(given, t.ReadWrite):
			h.ServeHTTP(w, r)
		case equalTokens(given, t.ReadOnly):
			WriteProblem(w, &Problem{Status: http.StatusForbidden, Code: "read_only", Detail: "this token may only read"})
		default:
			rejectToken(w)
		}
	})
}

// requireAny wraps h to accept only requests that carry either token.
func (t Tokens) requireAny(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := bearerToken(r)
		if t.ReadWrite == "" || equalTokens(given, t.ReadWrite) || equalTokens(given, t.ReadOnly) {
			h.ServeHTTP(w, r)
			return
		}
		rejectToken(w)
	})
}

// rejectToken answers a request whose token is missing or not valid.
func rejectToken(w http.ResponseWriter) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	WriteProblem(w, &Problem{
		Status: http.StatusUnauthorized, Code: "bad_token", Detail: "the bearer token is missing or not valid",
	})
}

// bearerToken returns the bearer token of a request, or "" if there is none.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// equalTokens compares hashes in constant time, so that its duration reveals neither the content nor the length of a token.
// It returns false if want is empty.
func equalTokens(given, want string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
