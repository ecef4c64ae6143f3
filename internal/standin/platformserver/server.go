package platformserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
)

// Server is the stand-in. Create it with New and serve it as an http.Handler.
type Server struct {
	mux *http.ServeMux

	mu        sync.Mutex
	entries   map[string]platformhttp.EntryBody
	changed   chan struct{}
	instances []platform.Instance
}

// New returns an empty platform.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), entries: map[string]platformhttp.EntryBody{}, changed: make(chan struct{})}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.get)
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.put)
	s.mux.HandleFunc("DELETE /v1/kv/{key}", s.del)
	s.mux.HandleFunc("GET /v1/kv", s.list)
	s.mux.HandleFunc("GET /v1/watch/{key}", s.watch)
	s.mux.HandleFunc("GET /v1/instances", s.listInstances)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, ok := s.entries[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, e)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body platformhttp.PutBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(body.Value) > platform.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key].Version
	if current != platform.Version(expect) {
		reply(w, http.StatusConflict, platformhttp.VersionBody{Version: current})
		return
	}
	s.entries[key] = platformhttp.EntryBody{
		Key: key, Value: body.Value, Version: current + 1, ModifiedAtMs: time.Now().UnixMilli(),
	}
	close(s.changed)
	s.changed = make(chan struct{})
	reply(w, http.StatusOK, platformhttp.VersionBody{Version: current + 1})
}

func (s *Server) del(w http.ResponseWriter, r *http.Request) {
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Version != platform.Version(expect) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	delete(s.entries, key)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	out := []platformhttp.EntryBody{}
	s.mu.Lock()
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			e.Value = nil
			out = append(out, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b platformhttp.EntryBody) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		e, ok := s.entries[r.PathValue("key")]
		changed := s.changed
		s.mu.Unlock()
		if ok && e.Version > platform.Version(after) {
			reply(w, http.StatusOK, e)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotFound)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	out := []platform.Instance{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.instances {
		if matches(q.Get("role"), string(in.Role)) && matches(q.Get("zone"), string(in.Zone)) &&
			matches(q.Get("state"), string(in.State)) {
			out = append(out, in)
		}
	}
	reply(w, http.StatusOK, out)
}

func matches(want, have string) bool { return want == "" || want == have }

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client is gone if the write fails.
	_ = json.NewEncoder(w).Encode(v)
}
