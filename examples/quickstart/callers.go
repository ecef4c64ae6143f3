package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// response is a daemon's response, with the outcome from its header and the time it took.
type response[B any] struct {
	outcome string
	took    time.Duration
	body    B
}

func (d *demo) search(ctx context.Context, caller string) (response[queryhttp.SearchResponse], error) {
	const limit = 100
	return call[queryhttp.SearchResponse](ctx, d, search, "query", caller,
		queryhttp.SearchRequest{Text: "hello", Limit: limit}, nil)
}

func (d *demo) execute(ctx context.Context, key string) (response[commandhttp.ExecuteResponse], error) {
	return call[commandhttp.ExecuteResponse](ctx, d, bookmarks, "execute", "app",
		commandhttp.ExecuteRequest{Body: "save phrase 17"}, map[string]string{httpapi.HeaderIdempotencyKey: key})
}

// call sends a request to the next daemon, in round-robin order.
func call[B any](
	ctx context.Context, d *demo, service model.ServiceName, verb, caller string, body any, header map[string]string,
) (response[B], error) {
	var result response[B]
	encoded, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	url := "http://" + d.cluster.CallerAddress(d.next%daemons) + "/v1/services/" + string(service) + "/" + verb
	d.next++
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return result, err
	}
	name, _, _ := strings.Cut(caller, " ")
	req.Header.Set(httpapi.HeaderCaller, name)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&result.body)
	result.took = time.Since(start)
	result.outcome = resp.Header.Get(httpapi.HeaderOutcome)
	return result, err
}
