package peer

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"strings"

	"oleandersill.example/oleandersill/internal/lockorder"
)

const (
	connectPath         = "/peer"
	connectStatus       = "200 Connected to oleandersill peer"
	bearer              = "Bearer "
	maxServerConns      = 2048
	headerAuthorization = "Authorization"
)

// Server serves the registered services to authenticated peers. It is the http.Handler of the peers' port.
type Server struct {
	token   [sha256.Size]byte
	rpc     *rpc.Server
	traffic *Traffic
	// slots is a semaphore that limits the number of connections.
	slots chan struct{}
	// messages bounds the memory of the requests while they are read and served.
	messages messageLimiter

	mu     lockorder.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server that accepts the given token. order is the lock order of its mutex.
func NewServer(order lockorder.Order, token string, traffic *Traffic) *Server {
	return &Server{
		token:   sha256.Sum256([]byte(token)),
		rpc:     rpc.NewServer(),
		traffic: traffic,
		slots:   make(chan struct{}, maxServerConns),
		mu:      lockorder.New(order),
		conns:   map[net.Conn]struct{}{},
	}
}

// LimitMessages bounds the memory, in bytes, that the requests on all connections use together while they are read and served, apart
// from the beginning of each. A connection whose request exceeds it closes. It must be called before the server is used.
func (s *Server) LimitMessages(maxBytes int64) { s.messages.maxBytes = maxBytes }

// Register adds a service, whose methods must have the form that net/rpc requires. It panics if net/rpc rejects the service.
func (s *Server) Register(name string, service any) {
	if err := s.rpc.RegisterName(name, service); err != nil {
		panic("peer: service cannot be registered: " + err.Error())
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "the peers' port answers CONNECT only", http.StatusMethodNotAllowed)
		return
	}
	if !s.authorized(r.Header.Get(headerAuthorization)) {
		http.Error(w, "wrong or missing token", http.StatusUnauthorized)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	s.serveConn(conn, buffered.Reader)
}

// authorized reports whether the header holds the server's token. It compares hashes, so that its duration depends on neither the
// content nor the length of the token.
func (s *Server) authorized(header string) bool {
	// With an empty token the header holds only the scheme, since net/http trims the trailing space.
	scheme, token, _ := strings.Cut(header, " ")
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1 && scheme == strings.TrimSpace(bearer)
}

func (s *Server) serveConn(conn net.Conn, hijacked *bufio.Reader) {
	defer func() { _ = conn.Close() }()
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	// Bytes that the HTTP server has already buffered belong to the first message.
	readAhead, _ := hijacked.Peek(hijacked.Buffered())
	counted := s.traffic.WrapConn(conn)
	reader := bufio.NewReader(io.MultiReader(strings.NewReader(string(readAhead)), counted))
	if _, err := io.WriteString(counted, "HTTP/1.0 "+connectStatus+"\n\n"); err != nil {
		return
	}
	codec := serverCodec{newGobCodec(counted, reader, maxRequestBytes, serverIdleTimeout)}
	codec.in.total = &s.messages
	defer codec.in.release()
	for s.rpc.ServeRequest(codec) == nil {
		continue
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes all connections and rejects new ones. Calls in progress fail.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
