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

// Script defines the behaviour of a server. The zero value answers every query at once with index version 1.
type Script struct {
	// Status, if not StatusOK, is the result of the first Times queries, or of all if Times is 0.
	Status backend.Status
	Times  int
	// RetryAfter is the retry hint of results with a Status other than StatusOK.
	RetryAfter time.Duration
	// ColdRemaining is how much longer the server is cold according to its health replies.
	ColdRemaining time.Duration
	// Delay is the time that a query or a health request takes.
	Delay time.Duration
	// Version is the current index version, where 0 means 1, and Retained are the older versions that the server still holds.
	Version  model.IndexVersion
	Retained []model.IndexVersion
	// Epoch is the shard map epoch in replies; 0 means that of the request.
	Epoch model.ShardMapEpoch
	// Items is the number of items in a reply; 0 means one.
	Items int
	// Body and StatusCode are those of the reply to a message; status code 0 means 200. Unsigned omits the signature.
	Body       string
	StatusCode int
	Unsigned   bool
}

var errUnreachable = errors.New("fakebackend: unreachable")

// Connector implements backend.Connector with fake servers. Create it with New.
type Connector struct {
	mu      lockorder.Mutex
	scripts map[model.ServerName]Script
	queries map[model.ServerName]int
	warmed  map[model.ServerName]int
	closed  map[model.ServerName]int
	cancels int
	// cancelled counts, for each server, the queries whose sender ended them.
	cancelled map[model.ServerName]int
}

// New returns a connector whose servers follow scripts. A server without a script follows the zero Script.
func New(scripts map[model.ServerName]Script) *Connector {
	return &Connector{
		scripts: scripts, queries: map[model.ServerName]int{}, warmed: map[model.ServerName]int{},
		closed: map[model.ServerName]int{}, cancelled: map[model.ServerName]int{},
	}
}

// Connect implements backend.Connector.
func (c *Connector) Connect(s *model.Server, _ int) backend.Server {
	return &server{connector: c, name: s.Name}
}

// Queries returns the number of queries and messages that a server has received.
func (c *Connector) Queries(name model.ServerName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queries[name]
}

// Cancelled returns the number of queries to a server that their sender ended.
func (c *Connector) Cancelled(name model.ServerName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled[name]
}

// Closed returns how often a client of the server was closed.
func (c *Connector) Closed(name model.ServerName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed[name]
}

// Warmed returns the number of connections that were opened to a server in advance.
func (c *Connector) Warmed(name model.ServerName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warmed[name]
}

// TotalQueries returns the number of queries and messages that all servers have received.
func (c *Connector) TotalQueries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, q := range c.queries {
		n += q
	}
	return n
}

// Cancels returns the number of cancellations that all servers have received.
func (c *Connector) Cancels() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancels
}

// server implements backend.Server.
type server struct {
	connector *Connector
	name      model.ServerName
}

// Query implements backend.Server.
func (s *server) Query(ctx context.Context, req backend.QueryRequest) backend.QueryResult {
	s.connector.mu.Lock()
	script := s.connector.scripts[s.name]
	s.connector.queries[s.name]++
	n := s.connector.queries[s.name]
	s.connector.mu.Unlock()
	select {
	case <-time.After(script.Delay):
	case <-ctx.Done():
		s.connector.mu.Lock()
		s.connector.cancelled[s.name]++
		s.connector.mu.Unlock()
		return backend.QueryResult{Status: backend.StatusCancelled}
	}
	if script.Status != backend.StatusOK && (script.Times == 0 || n <= script.Times) {
		return backend.QueryResult{Status: script.Status, RetryAfter: script.RetryAfter}
	}
	if req.Message != nil {
		return backend.QueryResult{Reply: backend.QueryReply{ID: req.ID, Shard: req.Shard, Message: script.messageReply(s.name)}}
	}
	return script.queryResult(req)
}

// messageReply returns the reply to a message. Its signature is the name of the server.
func (s *Script) messageReply(name model.ServerName) *backend.MessageReply {
	m := &backend.MessageReply{StatusCode: http.StatusOK, Signatures: []string{string(name)}, Body: []byte(s.Body)}
	if s.StatusCode != 0 {
		m.StatusCode = s.StatusCode
	}
	if s.Unsigned {
		m.Signatures = nil
	}
	return m
}

// queryResult returns the result of a query. It is StatusVersionNotHeld if the server does not hold the requested version.
func (s *Script) queryResult(req backend.QueryRequest) backend.QueryResult {
	version := max(1, s.Version)
	if want := req.WantVersion; want != 0 && want != version {
		retained := false
		for _, v := range s.Retained {
			retained = retained || v == want
		}
		if !retained {
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

// Item returns the item with index i of a shard at an index version. Its body contains the shard and the version.
func Item(shard model.ShardName, version model.IndexVersion, i int) model.Item {
	return model.Item{
		Key:   fmt.Sprintf("%s-%03d", shard, i),
		Score: float64(1000 - i),
		Body:  fmt.Sprintf("%s@%d", shard, version),
	}
}

// Execute implements backend.Server. It treats a message as Query does and reports other requests as unreachable.
func (s *server) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	if req.Message == nil {
		return backend.ExecuteResult{Status: backend.StatusUnreachable}
	}
	r := s.Query(ctx, backend.QueryRequest{ID: req.ID, Shard: req.Shard, Message: req.Message})
	return backend.ExecuteResult{Status: r.Status, Message: r.Reply.Message}
}

// Cancel implements backend.Server.
func (s *server) Cancel(context.Context, backend.AttemptID) bool {
	s.connector.mu.Lock()
	defer s.connector.mu.Unlock()
	s.connector.cancels++
	return true
}

// Health implements backend.Server. It takes as long as a query and fails if the script makes every query unreachable.
func (s *server) Health(ctx context.Context) (backend.Health, error) {
	s.connector.mu.Lock()
	script := s.connector.scripts[s.name]
	s.connector.mu.Unlock()
	select {
	case <-time.After(script.Delay):
	case <-ctx.Done():
		return backend.Health{}, ctx.Err()
	}
	if script.Status == backend.StatusUnreachable && script.Times == 0 {
		return backend.Health{}, errUnreachable
	}
	return backend.Health{Serving: true, ColdRemaining: script.ColdRemaining}, nil
}

// Load implements backend.Server.
func (s *server) Load(context.Context) (backend.Load, error) { return backend.Load{}, nil }

// Close implements backend.Server.
func (s *server) Close() {
	s.connector.mu.Lock()
	defer s.connector.mu.Unlock()
	s.connector.closed[s.name]++
}

// Warm implements backend.Server.
func (s *server) Warm(context.Context) error {
	s.connector.mu.Lock()
	defer s.connector.mu.Unlock()
	s.connector.warmed[s.name]++
	return nil
}
