package httpconn

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/lockorder"
)

// Transports holds one transport for each key, so that servers with the same limits share a transport. The zero value is
// empty.
type Transports[K comparable] struct {
	// mu has the lowest lock order: no other lock is held when it is acquired.
	mu    lockorder.Mutex
	byKey map[K]*http.Transport
}

// Get returns the transport for a key. It calls newTransport to create it on the first use of the key.
func (t *Transports[K]) Get(key K, newTransport func(K) *http.Transport) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if transport := t.byKey[key]; transport != nil {
		return transport
	}
	if t.byKey == nil {
		t.byKey = map[K]*http.Transport{}
	}
	transport := newTransport(key)
	t.byKey[key] = transport
	return transport
}

// CloseIdle closes the idle connections of all transports.
func (t *Transports[K]) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byKey {
		transport.CloseIdleConnections()
	}
}
