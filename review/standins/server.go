package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_interval_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// Arrival is a request that reached a server.
type Arrival struct {
	ID   string
	From string
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
	state    string
	beating  bool
	sequence int
	// work is how long a request runs.
	work time.Duration
	// leaving adds Server-Leaving to all answers.
	leaving bool
	// refuseUntil is until when requests are refused with 503 and Retry-After.
	refuseUntil time.Time
	arrivals    []Arrival
	runs        map[string]int
}

// StartServer starts a server on a free loopback port and registers it.
func StartServer(record *Record, store *Store, id, service, zone string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli(), record: record, store: store, addr: l.Addr().String(),
		state: "ready", beating: true, work: 5 * time.Millisecond, runs: map[string]int{},
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.Beat()
	go s.heartbeat()
	return s, nil
}

// Entry returns the server's entry.
func (s *Server) Entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.Service, "address": s.addr, "zone": s.Zone, "version": "v1", "slots": 4, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.Born,
	}
}

// Beat writes the entry once.
func (s *Server) Beat() { s.store.Put("servers/"+s.ID, s.Entry()) }

func (s *Server) heartbeat() {
	for {
		time.Sleep(heartbeatInterval)
		s.mu.Lock()
		beating := s.beating
		s.mu.Unlock()
		if beating {
			s.Beat()
		}
	}
}

// StopBeating ends the heartbeats.
func (s *Server) StopBeating() {
	s.mu.Lock()
	s.beating = false
	s.mu.Unlock()
}

// StartBeating resumes the heartbeats at once.
func (s *Server) StartBeating() {
	s.mu.Lock()
	s.beating = true
	s.mu.Unlock()
	s.Beat()
}

// SetWork sets how long a request runs.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	s.work = d
	s.mu.Unlock()
}

// Arrivals returns the requests that reached the server, without liveness checks.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Stop ends the server: all its connections close.
func (s *Server) Stop() { _ = s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	s.mu.Lock()
	leaving, work, refuse := s.leaving, s.work, time.Until(s.refuseUntil)
	s.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.ID)
		if leaving {
			w.WriteHeader(503)
		}
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.ID {
		h.Set("X-Instance-Id", s.ID)
		s.note(id, r, 421)
		w.WriteHeader(421)
		return
	}
	if refuse > 0 {
		h.Set("X-Not-Executed", "1")
		h.Set("Retry-After", fmt.Sprintf("%.2f", refuse.Seconds()))
		s.note(id, r, 503)
		w.WriteHeader(503)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.note(id, r, 200)
	time.Sleep(work)
	h.Set("X-Response-Stamp", s.ID+"."+id)
	h.Set("X-Server-Load", "1,0,4")
	body := "served " + id
	h.Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(200)
	_, _ = io.WriteString(w, body)
}

func (s *Server) note(id string, r *http.Request, status int) {
	a := Arrival{ID: id, From: r.RemoteAddr, Target: r.RequestURI, At: time.Now(), Status: status}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.record.Printf("server %s: arrival of %s %s %s, status %d", s.ID, id, r.Method, r.RequestURI, status)
}
