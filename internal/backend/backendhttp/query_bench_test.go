package backendhttp_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
)

// BenchmarkQuery measures a query with a reply of ten items over a kept loopback connection.
func BenchmarkQuery(b *testing.B) {
	id := backend.AttemptID{Request: "entry-0001-18ee07dc4b745bea-1f", Incarnation: 1796382160, Attempt: 1}
	reply := backendhttp.QueryReplyBody{ID: id, Shard: "phrase-search-07", Epoch: 1, Version: 9}
	for k := range 10 {
		reply.Items = append(reply.Items, model.Item{Key: fmt.Sprint("key-", k), Score: 1.5, Body: "a line of text of some length"})
	}
	body, err := json.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(backendhttp.HeaderAttempt, backendhttp.AttemptHeader(id))
		_, _ = w.Write(body)
	}))
	defer server.Close()
	var connector backendhttp.Connector
	defer connector.Close()
	client := connector.Connect(&model.Server{ServerSpec: &model.ServerSpec{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}}, 2)
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Hour))
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if r := client.Query(ctx, backend.QueryRequest{ID: id, Shard: reply.Shard}); r.Status != backend.StatusOK {
			b.Fatal(r.Status)
		}
	}
}
