package fakebackend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Script says how one server behaves. The zero value answers at once with version 1.
type Script struct {
	// Status, if not StatusOK, is the result of every query; Times limits it to the first queries (0: all).
	Status backend.Status
	Times  int
	// Delay is the time before the result.
	Delay time.Duration
	// Version is the current index version (0 means 1), Retained the older versions that the server still holds.
	Version  model.IndexVersion
	Retained []model.IndexVersion
	// Epoch overrides the shard map epoch in replies; 0 echoes the request's.
	Epoch model.ShardMapEpoch
	// Items is the number of items in a reply; 0 means one.
	Items int
	// Body is the body of a reply to a message, and Code its status; 0 means 200. Unsigned leaves the signature out.
	Body       string
	StatusCode int
	Unsigned   bool
}

var errUnreachable = errors.New("fakebackend: unreachable")

// Connector makes fake servers. Create it with New.
type Connector struct {
	mu      lockorder.Mutex
	scripts map[model.ServerName]Script
	queries map[model.ServerName]int
	warmed  map[model.ServerName]int
	cancels int
}

// New returns a connector whose servers behave as scripted; servers without a script have the zero one.
func New(scripts map[model.ServerName]Script) *Connector {
	return &Connector{scripts: scripts, queries: map[model.ServerName]int{}, warmed: map[model.ServerName]int{}}
}

// Connect implements backend.Connector.
func (c *Connector) Connect(s *model.Server, _ int) backend.Server {
	return &server{c: c, name: s.Name}
}

// Queries returns the number of queries that a server got.
func (c *Connector) Queries(name model.ServerName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queries[name]
}

// Warmed returns the number of connections to a server that were opened ahead of use.
func (c *Connector) Warmed(name model.ServerName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warmed[name]
}

// TotalQueries returns the number of queries that all servers got.
func (c *Connector) TotalQueries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, q := range c.queries {
		n += q
	}
	return n
}

// Cancels returns the number of cancellations that servers got.
func (c *Connector) Cancels() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancels
}

type server struct {
	c    *Connector
	name model.ServerName
}

func (s *server) Query(ctx context.Context, req backend.QueryRequest) backend.QueryResult {
	s.c.mu.Lock()
	script := s.c.scripts[s.name]
	s.c.queries[s.name]++
	n := s.c.queries[s.name]
	s.c.mu.Unlock()
	select {
	case <-time.After(script.Delay):
	case <-ctx.Done():
		return backend.QueryResult{Status: backend.StatusCancelled}
	}
	if script.Status != backend.StatusOK && (script.Times == 0 || n <= script.Times) {
		return backend.QueryResult{Status: script.Status}
	}
	if req.Message != nil {
		return backend.QueryResult{Reply: backend.QueryReply{ID: req.ID, Shard: req.Shard, Message: script.message(s.name)}}
	}
	return script.answer(req)
}

// message is the reply to a message; its signature is the server's name.
func (s *Script) message(name model.ServerName) *backend.MessageReply {
	m := &backend.MessageReply{StatusCode: http.StatusOK, Signatures: []string{string(name)}, Body: []byte(s.Body)}
	if s.StatusCode != 0 {
		m.StatusCode = s.StatusCode
	}
	if s.Unsigned {
		m.Signatures = nil
	}
	return m
}

func (s *Script) answer(req backend.QueryRequest) backend.QueryResult {
	version := max(1, s.Version)
	if want := req.WantVersion; want != 0 && want != version {
		held := false
		for _, v := range s.Retained {
			held = held || v == want
		}
		if !held {
			return backend.QueryResult{Status: backend.StatusVersionNotHeld, Retained: append(s.Retained, version)}
		}
		version = want
	}
	reply := backend.QueryReply{ID: req.ID, Shard: req.Shard, Epoch: req.Epoch, Version: version, Retained: s.Retained}
	if s.Epoch != 0 {
		reply.Epoch = s.Epoch
	}
	for i := range max(1, s.Items) {
		reply.Items = append(reply.Items, Item(req.Shard, version, i))
	}
	return backend.QueryResult{Status: backend.StatusOK, Reply: reply}
}

// Item returns the i-th item of a shard at a version; its body tells both.
func Item(shard model.ShardName, version model.IndexVersion, i int) model.Item {
	return model.Item{
		Key:   fmt.Sprintf("%s-%03d", shard, i),
		Score: float64(1000 - i),
		Body:  fmt.Sprintf("%s@%d", shard, version),
	}
}

// Execute answers a message as a query does; requests without one find no server.
func (s *server) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	if req.Message == nil {
		return backend.ExecuteResult{Status: backend.StatusUnreachable}
	}
	r := s.Query(ctx, backend.QueryRequest{ID: req.ID, Shard: req.Shard, Message: req.Message})
	return backend.ExecuteResult{Status: r.Status, Message: r.Reply.Message}
}

func (s *server) Cancel(context.Context, backend.AttemptID) bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.cancels++
	return true
}

// Health takes as long as a query, and fails for a server whose script makes it unreachable for good.
func (s *server) Health(ctx context.Context) (backend.Health, error) {
	s.c.mu.Lock()
	script := s.c.scripts[s.name]
	s.c.mu.Unlock()
	select {
	case <-time.After(script.Delay):
	case <-ctx.Done():
		return backend.Health{}, ctx.Err()
	}
	if script.Status == backend.StatusUnreachable && script.Times == 0 {
		return backend.Health{}, errUnreachable
	}
	return backend.Health{Serving: true}, nil
}
func (s *server) Load(context.Context) (backend.Load, error) { return backend.Load{}, nil }
func (s *server) Close()                                     {}

func (s *server) Warm(context.Context) error {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.warmed[s.name]++
	return nil
}
