package cli_test

import (
	"io"
	"net/http"
)

const inventoryDoc = `max_instances: 8
surge_instances: 2
zones:
  - {name: z1, region: north}
services:
  - name: search
    shard_map_epoch: 1
    shards:
      - name: s0
        key_from: 0
        key_to: 65536
        servers:
          - {name: a, address: "127.0.0.1:1", zone: z1, slots: 2, connections: 25, connection_cost_ms: 5}
          - {name: b, address: "127.0.0.1:2", zone: z1, slots: 2, connections: 25, connection_cost_ms: 5}
`

const rulesDoc = `ranks:
  - {rank: urgent, min_share: 0.5, target_ms: 100, max_queue_ms: 20}
  - {rank: standard, min_share: 0.3, target_ms: 200, max_queue_ms: 50}
  - {rank: deferred, min_share: 0.1, target_ms: 500, max_queue_ms: 100}
callers:
  - {caller: app, rank: urgent}
hedge: {max_ratio: 0.05, window_ms: 10000, quantile: 0.95, min_delay_ms: 5}
retry: {max_ratio: 0.1, window_ms: 10000, max_attempts: 3}
deadlines: {default_ms: 150, max_ms: 2000}
`

// unansweredHandler calls received for each request and blocks until the client closes the connection.
func unansweredHandler(received func()) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only once the request body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		received()
		<-r.Context().Done()
	})
}
