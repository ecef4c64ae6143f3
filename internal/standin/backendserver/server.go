package backendserver

import (
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/standin/netfault"
)

// Server is the stand-in for a backend server. Create it with New, serve it with Start or as an http.Handler, and stop it
// with Close. Its methods are safe for concurrent use.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	state    *state
	queue    *queue
	workers  *pool.Pool
	endpoint *netfault.Endpoint
}

// New returns a server and starts its workers.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:   cfg,
		mux:   http.NewServeMux(),
		state: newState(cfg),
		queue: newQueue(cfg.Slots + cfg.Queue),
	}
	s.mux.HandleFunc("POST "+backendhttp.PathQuery, s.query)
	s.mux.HandleFunc("GET "+backendhttp.PathHealth, s.health)
	s.mux.HandleFunc("GET "+backendhttp.PathLoad, s.load)
	s.mux.HandleFunc("POST "+backendhttp.PathExecute, s.execute)
	s.mux.HandleFunc("POST "+backendhttp.PathCancel, s.cancel)
	s.endpoint = netfault.NewEndpoint(s, netfault.Config{
		MaxConnections: cfg.Connections,
		ConnectionCost: cfg.ConnectionCost,
	})
	s.workers = pool.Start(cfg.Slots, func() (func(), bool) {
		j, ok := s.queue.take()
		return func() { s.run(j) }, ok
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Start listens on the address, host:port, and serves requests. Port 0 picks a free port, which Restart uses again.
func (s *Server) Start(address string) error { return s.endpoint.Open(address) }

// Address returns the address that the server listens on, or listened on before it crashed.
func (s *Server) Address() string { return s.endpoint.Address() }

// Close stops the server and its workers and waits until they have stopped.
func (s *Server) Close() {
	s.queue.close()
	s.queue.stopAll(EndCrashed)
	s.endpoint.Close()
	s.workers.Wait()
}

// run occupies a slot with a job until its service time or its deadline has passed or it is stopped. Workers call it.
func (s *Server) run(j *job) {
	start := time.Now()
	execution := s.cfg.Record.begin(j.exec)
	duration := s.state.serviceTime(start)
	end := EndCompleted
	if !j.deadline.IsZero() {
		if remaining := j.deadline.Sub(start); remaining < duration {
			duration, end = remaining, EndDeadline
		}
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.stop:
	}
	end = s.queue.finish(j, end)
	s.cfg.Record.end(execution, end, time.Now())
	close(j.done)
}

func (s *Server) actualLoad() backend.Load { return s.queue.load() }
