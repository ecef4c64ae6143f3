package netfault

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/standin"
)

const headerTimeout = 5 * time.Second

// ErrOpen is returned by Endpoint.Open if the endpoint is open already.
var ErrOpen = errors.New("netfault: endpoint is open already")

// Endpoint serves an HTTP handler on an address. It can be closed and opened again, like an instance that crashes and
// restarts. Its methods are safe for concurrent use.
type Endpoint struct {
	handler http.Handler
	cfg     Config

	mu             lockorder.Mutex
	idle           *sync.Cond
	address        string
	listener       *Listener
	server         *http.Server
	serveDone      chan struct{}
	activeRequests int
}

// NewEndpoint returns a closed endpoint.
func NewEndpoint(handler http.Handler, cfg Config) *Endpoint {
	e := &Endpoint{handler: handler, cfg: cfg, mu: lockorder.New(standin.OrderEndpoint)}
	e.idle = sync.NewCond(&e.mu)
	return e
}

// Open listens on the address, host:port, and serves requests. Port 0 picks a free port. An empty address means the
// address that the endpoint listened on last.
func (e *Endpoint) Open(address string) error {
	if address == "" {
		address = e.Address()
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrap(err, "netfault: listening")
	}
	listener := NewListener(l, e.cfg)
	server := &http.Server{ReadHeaderTimeout: headerTimeout}
	server.Handler = e.trackRequests(server)
	serveDone := make(chan struct{})
	if !e.setServer(listener, server, serveDone) {
		return errors.CombineErrors(ErrOpen, listener.Close())
	}
	go func() {
		defer close(serveDone)
		// Serve returns when Close closes the listener.
		_ = server.Serve(listener)
	}()
	return nil
}

// setServer sets the server of the endpoint, or returns false if the endpoint is open already.
func (e *Endpoint) setServer(listener *Listener, server *http.Server, serveDone chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return false
	}
	e.address, e.listener, e.server, e.serveDone = listener.Addr().String(), listener, server, serveDone
	return true
}

// trackRequests returns a handler that counts the active requests, and aborts requests that arrive after Close was
// called.
func (e *Endpoint) trackRequests(server *http.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.beginRequest(server) {
			panic(http.ErrAbortHandler)
		}
		defer e.endRequest()
		e.handler.ServeHTTP(w, r)
	})
}

func (e *Endpoint) beginRequest(server *http.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != server {
		return false
	}
	e.activeRequests++
	return true
}

func (e *Endpoint) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests--
	if e.activeRequests == 0 {
		e.idle.Broadcast()
	}
}

// Close closes the listener and all connections and waits until no request is being served. It does nothing if the
// endpoint is closed already.
func (e *Endpoint) Close() {
	e.mu.Lock()
	server, listener, serveDone := e.server, e.listener, e.serveDone
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	// The error is irrelevant because CloseConnections closes the connections in any case.
	_ = server.Close()
	<-serveDone
	listener.CloseConnections()
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.activeRequests > 0 {
		e.idle.Wait()
	}
}

// Address returns the address that the endpoint listens on, or listened on last.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Counts returns the connection counters, which start at 0 each time the endpoint is opened.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	listener := e.listener
	e.mu.Unlock()
	if listener == nil {
		return Counts{}
	}
	return listener.Counts()
}
