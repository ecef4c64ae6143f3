package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Arrival is a request that reached a server.
type Arrival struct {
	ID string
	// Target is the path and query as received.
	Target string
	At     time.Time
	Status int
}

// Server is a stand-in of a backend server.
type Server struct {
	ID, Service, Zone string
	Born              int64

	record *Record
	store  *Store
	addr   string
	http   *http.Server

	mu       sync.Mutex
	sequence int
	// work is how long a request runs.
	work time.Duration
	// shed is the share of the requests that are refused with 503.
	shed     float64
	arrivals []Arrival
	runs     map[string]int
	// body is the body of answers, unless it is empty.
	body string
	// slots is how many requests run at the same time, and queueLimit how many more wait; 0 slots stands for no bound.
	slots, queueLimit int
	running, waiting  int
	free              *sync.Cond
}

// StartServer starts a server on a free loopback port and registers it.
func StartServer(record *Record, store *Store, id, service, zone string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli(), record: record, store: store, addr: l.Addr().String(),
		work: 5 * time.Millisecond, runs: map[string]int{},
	}
	s.free = sync.NewCond(&s.mu)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.Register()
	return s, nil
}

// Entry returns the server's entry.
func (s *Server) Entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	slots := 4
	if s.slots > 0 {
		slots = s.slots
	}
	return map[string]any{
		"service": s.Service, "address": s.addr, "zone": s.Zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.Born,
	}
}

// Register writes the entry. Later heartbeats change nothing but its sequence, and so do not change the entry.
func (s *Server) Register() { s.store.Put("servers/"+s.ID, s.Entry()) }

// SetWork sets how long a request runs.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	s.work = d
	s.mu.Unlock()
}

// SetShed sets the share of the requests that the server refuses.
func (s *Server) SetShed(share float64) {
	s.mu.Lock()
	s.shed = share
	s.mu.Unlock()
}

// SetBody sets the body of answers.
func (s *Server) SetBody(body string) {
	s.mu.Lock()
	s.body = body
	s.mu.Unlock()
}

// SetSlots bounds the requests that run and those that wait.
func (s *Server) SetSlots(slots, queueLimit int) {
	s.mu.Lock()
	s.slots, s.queueLimit = slots, queueLimit
	s.mu.Unlock()
}

// begin waits for a slot. It returns false if the server is full.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == 0 {
		return true
	}
	if s.running >= s.slots {
		if s.waiting >= s.queueLimit {
			return false
		}
		s.waiting++
		for s.running >= s.slots {
			s.free.Wait()
		}
		s.waiting--
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots > 0 {
		s.running--
		s.free.Signal()
	}
}

// load returns the value of X-Server-Load.
func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == 0 {
		return "1,0,4"
	}
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// Arrivals returns the requests that reached the server, without liveness checks.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Stop ends the server: all its connections close, and new ones are refused.
func (s *Server) Stop() { _ = s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	s.mu.Lock()
	shed, body := s.shed, s.body
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.ID)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.ID {
		h.Set("X-Instance-Id", s.ID)
		s.note(id, r, 421, time.Now())
		w.WriteHeader(421)
		return
	}
	arrived := time.Now()
	limit, _ := strconv.Atoi(r.Header.Get("X-Time-Remaining"))
	if rand.Float64() < shed || !s.begin() {
		s.refuse(w, r, id, arrived)
		return
	}
	defer s.end()
	if limit > 0 && time.Since(arrived) > time.Duration(limit)*time.Millisecond {
		// Its time limit has passed while it waited.
		s.refuse(w, r, id, arrived)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	work := s.work
	s.mu.Unlock()
	s.note(id, r, 200, arrived)
	time.Sleep(work)
	h.Set("X-Response-Stamp", s.ID+"."+id)
	h.Set("X-Server-Load", s.load())
	if body == "" {
		body = "served " + id
	}
	h.Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(200)
	_, _ = io.WriteString(w, body)
}

// refuse answers that a request was not run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, id string, arrived time.Time) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Server-Load", s.load())
	s.note(id, r, 503, arrived)
	w.WriteHeader(503)
}

func (s *Server) note(id string, r *http.Request, status int, arrived time.Time) {
	a := Arrival{ID: id, Target: r.RequestURI, At: arrived, Status: status}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if s.record.Quiet {
		return
	}
	s.record.Printf("server %s: arrival of %s %s %s, status %d", s.ID, id, r.Method, r.RequestURI, status)
}
