package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Tokens are the credentials of the operators' port, sent as "Authorization: Bearer TOKEN".
type Tokens struct {
	// ReadWrite may change and read. If it is empty the port is open; settings allow that only on a loopback address.
	ReadWrite string
	// ReadOnly may only read; empty means that there is no such credential.
	ReadOnly string
}

// Authorize admits reads, which are GET and HEAD, with either token, and all other requests with the token that may change.
func (t Tokens) Authorize(h http.Handler) http.Handler {
	change, read := t.forChange(h), t.forRead(h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			read.ServeHTTP(w, r)
			return
		}
		change.ServeHTTP(w, r)
	})
}

// forChange admits requests that carry the token that may change.
func (t Tokens) forChange(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch given := bearer(r); {
		case t.ReadWrite == "" || sameToken(given, t.ReadWrite):
			h.ServeHTTP(w, r)
		case sameToken(given, t.ReadOnly):
			WriteProblem(w, &Problem{Status: http.StatusForbidden, Code: "read_only", Detail: "this token may only read"})
		default:
			refuseToken(w)
		}
	})
}

// forRead admits requests that carry either token.
func (t Tokens) forRead(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := bearer(r)
		if t.ReadWrite == "" || sameToken(given, t.ReadWrite) || sameToken(given, t.ReadOnly) {
			h.ServeHTTP(w, r)
			return
		}
		refuseToken(w)
	})
}

func refuseToken(w http.ResponseWriter) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	WriteProblem(w, &Problem{
		Status: http.StatusUnauthorized, Code: "bad_token", Detail: "the bearer token is missing or not valid",
	})
}

func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// sameToken compares hashes, so that the time tells nothing about either token's content or length. An empty token
// matches nothing.
func sameToken(given, want string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
