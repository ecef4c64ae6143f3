package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	record *Record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[uint64]storeLease
	nextID   uint64
	// down makes the store answer 503 to all calls.
	down bool

	http *http.Server
	addr string
}

// StartStore starts an empty store on a free loopback port.
func StartStore(record *Record) (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		record: record, revision: 1000, items: map[string]item{}, changed: make(chan struct{}),
		leases: map[uint64]storeLease{}, addr: l.Addr().String(),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.expireLoop()
	return s, nil
}

// Addr returns the store's address.
func (s *Store) Addr() string { return s.addr }

// Put writes a key without a lease and returns when the store has acknowledged it.
func (s *Store) Put(key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	s.put(key, raw, 0)
	s.mu.Unlock()
}

// SetDown starts or ends an outage: all calls, waiting watches too, are answered 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.record.Printf("store: down %t", down)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	s.remove(key)
	s.mu.Unlock()
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.append(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLoop() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(503)
		return
	}
	switch p := r.URL.Path; {
	case p == "/kv-range":
		s.serveRange(w, r)
	case p == "/kv-key":
		s.serveKey(w, r)
	case p == "/kv-watch":
		s.serveWatch(w, r)
	case p == "/kv-txn":
		s.serveTxn(w, r)
	case p == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(p, "/kv-keep/"):
		s.serveKeep(w, p[len("/kv-keep/"):])
	case strings.HasPrefix(p, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(p[len("/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	default:
		w.WriteHeader(404)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(404)
		return
	}
	answer(w, 200, it)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var out []item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	truncated := len(out) > 500
	if truncated {
		out = out[:500]
	}
	answer(w, 200, map[string]any{"items": out, "truncated": truncated, "current_rev": rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(503)
			return
		}
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			answer(w, 412, map[string]any{"items": []item{}})
			return
		}
	}
	for _, e := range t.Writes {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
		if _, ok := s.leases[e.Lease]; !ok && e.Lease != 0 {
			w.WriteHeader(404)
			return
		}
	}
	for _, e := range t.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	ttl := time.Duration(t.TTL) * time.Millisecond
	s.leases[id] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, 200, map[string]any{"lease": id, "ttl_ms": t.TTL})
}

func (s *Store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(404)
		return
	}
	answer(w, 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
