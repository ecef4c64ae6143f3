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

// message is a request to the daemon. An empty body makes it a GET.
type message struct {
	from, to, path string
	header         http.Header
	body           string
	// shown replaces the body in the transcript unless it is empty.
	shown string
}

// transcript holds the messages of a session. Messages of backend servers, which come in any order, are sorted for each
// answer of the daemon.
type transcript struct {
	mu       sync.Mutex
	text     strings.Builder
	backends []string
	held     int
	gate     chan struct{}
}

func (t *transcript) note(text string) { t.write("# " + text) }

func (t *transcript) write(parts ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text.WriteString(strings.Join(parts, "\n    ") + "\n")
}

// exchange sends a message and waits for its reply.
func (t *transcript) exchange(m *message) { t.end(m, t.start(m)) }

// start sends a message; the reply is for end.
func (t *transcript) start(m *message) <-chan []string {
	method := http.MethodPost
	if m.body == "" {
		method = http.MethodGet
	}
	lines := append([]string{m.from + " -> entry-1: " + method + " " + m.path}, headers(m.header, "")...)
	if m.body != "" {
		lines = append(lines, cmp.Or(m.shown, m.body))
	}
	t.write(lines...)
	req, err := http.NewRequest(method, "http://"+m.to+m.path, strings.NewReader(m.body))
	Expect(err).NotTo(HaveOccurred())
	if m.header != nil {
		req.Header = m.header.Clone()
	}
	if m.from == "operator" {
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

func (t *transcript) end(m *message, reply <-chan []string) {
	var lines []string
	Eventually(reply, "20s").Should(Receive(&lines))
	t.mu.Lock()
	slices.Sort(t.backends)
	if m.from == "caller" {
		t.text.WriteString(strings.Join(t.backends, ""))
		t.backends = nil
	}
	t.mu.Unlock()
	lines[0] = "entry-1 -> " + m.from + ": " + lines[0]
	t.write(lines...)
}

// headers returns the headers with a prefix, sorted.
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

// listen serves a backend server, records its requests and replies, and returns its address. Reports of health and load
// are left out, because their number depends on time.
func (t *transcript) listen(name string, server http.Handler) string {
	recorded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			server.ServeHTTP(w, r)
			return
		}
		request, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(request))
		reply := httptest.NewRecorder()
		server.ServeHTTP(reply, r)
		t.passGate()
		lines := []string{"entry-1 -> " + name + ": POST " + r.URL.Path, string(request)}
		text := strings.Join(lines, "\n    ") + "\n"
		lines = append([]string{fmt.Sprintf("%s -> entry-1: %d", name, reply.Code)}, headers(reply.Header(), "X-")...)
		text += strings.Join(append(lines, strings.TrimSpace(reply.Body.String())), "\n    ") + "\n"
		t.mu.Lock()
		t.backends = append(t.backends, text)
		t.mu.Unlock()
		for name, values := range reply.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	})
	s := httptest.NewServer(recorded)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

// hold keeps back the replies of backend servers until release is called.
func (t *transcript) hold() (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gate := make(chan struct{})
	t.gate = gate
	return func() { close(gate) }
}

func (t *transcript) passGate() {
	t.mu.Lock()
	gate := t.gate
	t.held++
	t.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// awaitHeld waits until so many replies are kept back.
func (t *transcript) awaitHeld(n int) {
	Eventually(func() int {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.held
	}, "5s").Should(Equal(n))
}

func encode(v any) string {
	b, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// stable replaces what differs between two runs of a session.
var stable = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`entry-1-[0-9a-f]+-(x?[0-9a-f]+)`), "REQUEST-$1"},
	{regexp.MustCompile(`\b\d{19}\b`), "START"},
	{regexp.MustCompile(`\b\d{13}\b`), "UNIX_MS"},
	{regexp.MustCompile(`[0-9a-f]{64}`), "HASH"},
	{regexp.MustCompile(`"load":\{[^}]*\}`), `"load":LOAD`},
}

var uuids = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

func (t *transcript) normalised() string {
	text := t.text.String()
	for _, s := range stable {
		text = s.pattern.ReplaceAllString(text, s.text)
	}
	keys := map[string]string{}
	return uuids.ReplaceAllStringFunc(text, func(key string) string {
		if keys[key] == "" {
			keys[key] = fmt.Sprintf("KEY-%d", len(keys)+1)
		}
		return keys[key]
	})
}
