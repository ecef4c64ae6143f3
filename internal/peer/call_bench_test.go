package peer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// Forward records the batch.
func (q *queries) Forward(b forwarding.Batch, _ *forwarding.Receipt) error {
	q.batch = b
	return nil
}

// BenchmarkForwardCall measures a call that delivers a batch with one sub-request and one result over a loopback connection.
func BenchmarkForwardCall(b *testing.B) {
	var traffic peer.Traffic
	server := peer.NewServer(tables.OrderPeers, "token", &traffic)
	server.Register(peer.ServiceQueries, &queries{})
	listener := httptest.NewServer(server)
	defer listener.Close()
	defer server.Close()
	client := peer.NewClient(peer.ClientConfig{
		Order: tables.OrderPeers, Token: "token", Traffic: &traffic, Dial: (&net.Dialer{}).DialContext,
		MaxConns: peer.MaxDataConns,
	})
	defer client.Close()
	address := strings.TrimPrefix(listener.URL, "http://")
	batch := forwardBatch(1)
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		if _, err := client.Forward(ctx, address, batch); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}
