package peer_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
)

// BenchmarkForwardCodec measures the encoding and decoding of a batch of forwarded sub-requests and as many results with three
// items each, after the gob types have been sent. The metrics are per sub-request.
func BenchmarkForwardCodec(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			batch := forwardBatch(size)
			var conn bytes.Buffer
			enc, dec := gob.NewEncoder(&conn), gob.NewDecoder(&conn)
			var totalBytes int
			for b.Loop() {
				if err := enc.Encode(batch); err != nil {
					b.Fatal(err)
				}
				totalBytes += conn.Len()
				var got forwarding.Batch
				if err := dec.Decode(&got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/sub-request")
			b.ReportMetric(float64(totalBytes)/float64(b.N*size), "B/sub-request")
		})
	}
}

// forwardBatch returns a batch with size sub-requests and as many results.
func forwardBatch(size int) forwarding.Batch {
	b := forwarding.Batch{From: model.Member{Instance: "entry-0001", Zone: "zone-1", Address: "127.0.0.1:7301"}}
	for i := range size {
		id := backend.AttemptID{Request: "entry-0001-18ee07dc4b745bea-1f", Incarnation: 1796382160, Attempt: uint32(i)}
		b.Queries = append(b.Queries, forwarding.Query{
			Server: "phrase-search-07-1", Left: time.Second,
			Request: backend.QueryRequest{ID: id, Service: "phrase-search", Shard: "phrase-search-07", Epoch: 1, Text: "good morning", Limit: 10},
		})
		reply := backend.QueryReply{ID: id, Shard: "phrase-search-07", Epoch: 1, Version: 9}
		for k := range 3 {
			reply.Items = append(reply.Items, model.Item{Key: fmt.Sprint("key-", k), Score: 1.5, Body: "a line of text of some length"})
		}
		b.Results = append(b.Results, forwarding.Result{ID: id, Result: backend.QueryResult{Reply: reply}})
	}
	return b
}
