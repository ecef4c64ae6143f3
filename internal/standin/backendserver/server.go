package backendserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
)

// Config describes one server.
type Config struct {
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	Slots   int
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// Items is the number of matches in the shard.
	Items int
}

// Server is the stand-in. Create it with New and serve it as an http.Handler.
type Server struct {
	cfg   Config
	mux   *http.ServeMux
	slots chan struct{}
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux(), slots: make(chan struct{}, cfg.Slots)}
	s.mux.HandleFunc("POST "+backendhttp.PathQuery, s.query)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	var body backendhttp.QueryBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(backendhttp.HeaderAttempt, backendhttp.AttemptHeader(body.ID))
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.cfg.ServiceTime)
	reply := backendhttp.QueryReplyBody{
		ID: body.ID, Shard: s.cfg.Shard, Epoch: s.cfg.Epoch, Version: s.cfg.Version,
		Items: s.items(body.Limit), Load: backend.Load{Running: len(s.slots)},
	}
	w.Header().Set("Content-Type", "application/json")
	// The client is gone if the write fails.
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *Server) items(limit int) []model.Item {
	n := min(limit, s.cfg.Items)
	out := make([]model.Item, n)
	for i := range out {
		out[i] = model.Item{Key: fmt.Sprintf("%s-%d", s.cfg.Shard, i), Score: float64(s.cfg.Items - i)}
	}
	return out
}
