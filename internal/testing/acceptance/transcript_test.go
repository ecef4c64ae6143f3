package acceptance_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const operatorToken = "token-of-the-operators"

// request is a request to the daemon. It is a GET if the body is empty and a POST otherwise.
type request struct {
	from, to, path string
	header         http.Header
	body           string
	// shownBody, if not empty, replaces the body in the transcript.
	shownBody string
}

// transcript records the messages of a session. The daemon calls backend servers concurrently, so the exchanges with them
// are sorted and written when the reply to a caller arrives.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
	// backendExchanges are the requests to backend servers, with their replies, since the last reply to a caller.
	backendExchanges []string
	// replies counts the replies of backend servers, and released, if not nil, is closed when they may be sent.
	replies  int
	released chan struct{}
}

func (t *transcript) note(text string) { t.write("# " + text) }

func (t *transcript) write(parts ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text.WriteString(strings.Join(parts, "\n    ") + "\n")
}

// exchange sends a request and waits for its reply.
func (t *transcript) exchange(r *request) { t.receive(r, t.send(r)) }

// send records and sends a request. The returned channel, for receive, gets the lines of its reply.
func (t *transcript) send(r *request) <-chan []string {
	method := http.MethodPost
	if r.body == "" {
		method = http.MethodGet
	}
	lines := append([]string{r.from + " -> entry-1: " + method + " " + r.path}, headers(r.header, "")...)
	if r.body != "" {
		lines = append(lines, cmp.Or(r.shownBody, r.body))
	}
	t.write(lines...)
	req, err := http.NewRequest(method, "http://"+r.to+r.path, strings.NewReader(r.body))
	Expect(err).NotTo(HaveOccurred())
	if r.header != nil {
		req.Header = r.header.Clone()
	}
	if r.from == "operator" {
		req.Header.Set("Authorization", "Bearer "+operatorToken)
	}
	reply := make(chan []string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			reply <- []string{"no connection"}
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		lines := append([]string{fmt.Sprint(resp.StatusCode)}, headers(resp.Header, "X-")...)
		reply <- append(lines, strings.TrimSpace(string(body)))
	}()
	return reply
}

// receive waits for the reply to a request and records it.
func (t *transcript) receive(r *request, reply <-chan []string) {
	var lines []string
	Eventually(reply, "20s").Should(Receive(&lines))
	t.mu.Lock()
	slices.Sort(t.backendExchanges)
	if r.from == "caller" {
		t.text.WriteString(strings.Join(t.backendExchanges, ""))
		t.backendExchanges = nil
	}
	t.mu.Unlock()
	lines[0] = "entry-1 -> " + r.from + ": " + lines[0]
	t.write(lines...)
}

// headers returns the lines of the headers whose names begin with prefix, sorted.
func headers(h http.Header, prefix string) []string {
	var lines []string
	for name := range h {
		if strings.HasPrefix(name, prefix) {
			lines = append(lines, name+": "+h.Get(name))
		}
	}
	slices.Sort(lines)
	return lines
}

// listen serves a backend server, records its POST requests and their replies, and returns its address. It does not record
// the requests for health and load, because their number depends on time.
func (t *transcript) listen(name string, server http.Handler) string {
	recorder := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			server.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		reply := httptest.NewRecorder()
		server.ServeHTTP(reply, r)
		t.awaitRelease()
		lines := []string{"entry-1 -> " + name + ": POST " + r.URL.Path, string(body)}
		text := strings.Join(lines, "\n    ") + "\n"
		lines = append([]string{fmt.Sprintf("%s -> entry-1: %d", name, reply.Code)}, headers(reply.Header(), "X-")...)
		text += strings.Join(append(lines, strings.TrimSpace(reply.Body.String())), "\n    ") + "\n"
		t.mu.Lock()
		t.backendExchanges = append(t.backendExchanges, text)
		t.mu.Unlock()
		for name, values := range reply.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	})
	s := httptest.NewServer(recorder)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

// holdReplies holds the replies of backend servers until release is called.
func (t *transcript) holdReplies() (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	released := make(chan struct{})
	t.released = released
	return func() { close(released) }
}

// awaitRelease counts a reply of a backend server and waits while replies are held.
func (t *transcript) awaitRelease() {
	t.mu.Lock()
	released := t.released
	t.replies++
	t.mu.Unlock()
	if released != nil {
		<-released
	}
}

// awaitReplies waits until backend servers have made n replies, whether or not they are held.
func (t *transcript) awaitReplies(n int) {
	Eventually(func() int {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.replies
	}, "5s").Should(Equal(n))
}

func encode(v any) string {
	b, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// placeholders replace the values that differ between two runs of a session.
var placeholders = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`entry-1-[0-9a-f]+-(x?[0-9a-f]+)`), "REQUEST-$1"},
	{regexp.MustCompile(`\b\d{19}\b`), "START"},
	{regexp.MustCompile(`\b\d{13}\b`), "UNIX_MS"},
	{regexp.MustCompile(`[0-9a-f]{64}`), "HASH"},
	{regexp.MustCompile(`"load":\{[^}]*\}`), `"load":LOAD`},
}

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// normalised returns the transcript with placeholders. Idempotency keys are numbered in the order of their first use.
func (t *transcript) normalised() string {
	text := t.text.String()
	for _, s := range placeholders {
		text = s.pattern.ReplaceAllString(text, s.text)
	}
	keys := map[string]string{}
	return uuidPattern.ReplaceAllStringFunc(text, func(key string) string {
		if keys[key] == "" {
			keys[key] = fmt.Sprintf("KEY-%d", len(keys)+1)
		}
		return keys[key]
	})
}
