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

// answer is a daemon's answer with the outcome that its header states.
type answer[B any] struct {
	outcome string
	took    time.Duration
	body    B
}

func (t *demo) search(ctx context.Context, caller string) (answer[queryhttp.SearchResponse], error) {
	const limit = 100
	return call[queryhttp.SearchResponse](ctx, t, search, "query", caller,
		queryhttp.SearchRequest{Text: "hello", Limit: limit}, nil)
}

func (t *demo) execute(ctx context.Context, key string) (answer[commandhttp.ExecuteResponse], error) {
	return call[commandhttp.ExecuteResponse](ctx, t, bookmarks, "execute", "app",
		commandhttp.ExecuteRequest{Body: "save phrase 17"}, map[string]string{httpapi.HeaderIdempotencyKey: key})
}

// call sends one request to the next daemon in turn.
func call[B any](
	ctx context.Context, t *demo, service model.ServiceName, verb, caller string, body any, header map[string]string,
) (answer[B], error) {
	var out answer[B]
	encoded, err := json.Marshal(body)
	if err != nil {
		return out, err
	}
	url := "http://" + t.cluster.CallerAddress(t.next%daemons) + "/v1/services/" + string(service) + "/" + verb
	t.next++
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return out, err
	}
	name, _, _ := strings.Cut(caller, " ")
	req.Header.Set(httpapi.HeaderCaller, name)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&out.body)
	out.took = time.Since(begin)
	out.outcome = resp.Header.Get(httpapi.HeaderOutcome)
	return out, err
}
