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

// ErrOpen means that the endpoint is open already.
var ErrOpen = errors.New("netfault: endpoint is open already")

// Endpoint serves one handler on one address and can be shut and opened again, as an instance that crashes and comes
// back. Its methods are safe for concurrent use.
type Endpoint struct {
	handler http.Handler
	cfg     Config

	mu       lockorder.Mutex
	idle     *sync.Cond
	address  string
	listener *Listener
	server   *http.Server
	served   chan struct{}
	active   int
}

// NewEndpoint returns an endpoint that is not open yet.
func NewEndpoint(handler http.Handler, cfg Config) *Endpoint {
	e := &Endpoint{handler: handler, cfg: cfg, mu: lockorder.New(standin.OrderEndpoint)}
	e.idle = sync.NewCond(&e.mu)
	return e
}

// Open listens on the address, host:port, and serves. Port 0 picks a free port. The empty address stands for the one
// used last.
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
	server.Handler = e.gate(server)
	served := make(chan struct{})
	if !e.install(listener, server, served) {
		return errors.CombineErrors(ErrOpen, listener.Close())
	}
	go func() {
		defer close(served)
		// Serve returns when Close closes the listener.
		_ = server.Serve(listener)
	}()
	return nil
}

func (e *Endpoint) install(listener *Listener, server *http.Server, served chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return false
	}
	e.address, e.listener, e.server, e.served = listener.Addr().String(), listener, server, served
	return true
}

// gate counts the requests being served and cuts those that arrive when the server is being shut.
func (e *Endpoint) gate(server *http.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.enter(server) {
			panic(http.ErrAbortHandler)
		}
		defer e.leave()
		e.handler.ServeHTTP(w, r)
	})
}

func (e *Endpoint) enter(server *http.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != server {
		return false
	}
	e.active++
	return true
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 {
		e.idle.Broadcast()
	}
}

// Close closes the listener, cuts all connections and waits until no request is being served.
func (e *Endpoint) Close() {
	e.mu.Lock()
	server, listener, served := e.server, e.listener, e.served
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	// The connections are cut next, whatever closing them in the server reports.
	_ = server.Close()
	<-served
	listener.CloseConnections()
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.active > 0 {
		e.idle.Wait()
	}
}

// Address returns the address listened on last.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Counts returns the counters of the listener; they start at 0 with each opening.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	listener := e.listener
	e.mu.Unlock()
	if listener == nil {
		return Counts{}
	}
	return listener.Counts()
}
