package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/measure/load"
	"oleandersill.example/oleandersill/internal/measure/observe"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// caller sends requests over HTTP as callers do and adds the answers to the collector.
type caller struct {
	cluster        *cluster.Cluster
	collector      *observe.Collector
	client         *http.Client
	service        model.ServiceName
	commandService model.ServiceName
	daemons        int
	limit          int
	deadline       time.Duration
	// deadlineHeader is the value of the deadline header; if it is empty, none is sent and the rules' default applies.
	deadlineHeader string
}

func (d *driver) newCaller(c *cluster.Cluster, collector *observe.Collector) *caller {
	out := &caller{
		cluster:        c,
		collector:      collector,
		service:        d.deployment.service.Name,
		commandService: d.deployment.commandService,
		daemons:        d.options.Daemons,
		limit:          min(queryhttp.MaxLimit, 2*itemsPerShard*len(d.deployment.service.Shards)),
		deadline:       time.Duration(d.deployment.rules.Deadlines.DefaultMs) * time.Millisecond,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         c.Network.Dialer(cluster.Location{Role: cluster.RoleClient}),
			MaxIdleConnsPerHost: d.options.Workers,
			DisableCompression:  true,
		}},
	}
	if d.options.Deadline > 0 {
		out.deadline = d.options.Deadline
		out.deadlineHeader = strconv.FormatInt(out.deadline.Milliseconds(), 10)
	}
	return out
}

func (c *caller) send(ctx context.Context, a load.Arrival, intended time.Time) {
	answer := observe.Answer{Arrival: a, Text: fmt.Sprintf("query-%d", a.Number)}
	before := c.collector.Revision(a.Target)
	answer.Sent = time.Now()
	c.exchange(ctx, &answer)
	answer.Latency = time.Since(intended)
	c.collector.Add(&answer, before)
}

func (c *caller) exchange(ctx context.Context, answer *observe.Answer) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline+responseGrace)
	defer cancel()
	body, err := json.Marshal(queryhttp.SearchRequest{Text: answer.Text, Limit: c.limit})
	if err != nil {
		return
	}
	url := "http://" + c.cluster.CallerAddress(answer.Arrival.Target) + "/v1/services/" + string(c.service) + "/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	c.addHeaders(req, answer.Arrival)
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer.HeaderOutcome = resp.Header.Get(httpapi.HeaderOutcome)
	answer.HeaderCoverage = resp.Header.Get(httpapi.HeaderCoverage)
	var reply struct {
		queryhttp.SearchResponse
		Code string `json:"code"`
	}
	answer.Received = json.NewDecoder(resp.Body).Decode(&reply) == nil
	answer.Body, answer.Problem = reply.SearchResponse, reply.Code
}

// sendCommand sends a non-idempotent request with a new idempotency key. If the outcome is not complete, it retries once
// through another daemon, as a caller does.
func (c *caller) sendCommand(ctx context.Context, a load.Arrival, intended time.Time) {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	cmd := observe.Command{Key: id.String()}
	first := c.execute(ctx, a, cmd.Key, a.Target, true)
	cmd.Answers = append(cmd.Answers, first)
	if first.Outcome != model.OutcomeComplete {
		again := c.execute(ctx, a, cmd.Key, (a.Target+1)%c.daemons, first.Outcome == model.OutcomeNotRun)
		cmd.Answers = append(cmd.Answers, again)
	}
	c.collector.AddCommand(cmd, a.At, time.Since(intended), a.Rank)
}

// execute sends a non-idempotent request once. Its outcome is unknown unless a whole response is received.
func (c *caller) execute(ctx context.Context, a load.Arrival, key string, daemon int, first bool) observe.CommandAnswer {
	noResponse := observe.CommandAnswer{Outcome: model.OutcomeUnknown}
	ctx, cancel := context.WithTimeout(ctx, c.deadline+responseGrace)
	defer cancel()
	body, err := json.Marshal(commandhttp.ExecuteRequest{Body: key})
	if err != nil {
		return noResponse
	}
	url := "http://" + c.cluster.CallerAddress(daemon) + "/v1/services/" + string(c.commandService) + "/execute"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return noResponse
	}
	// With GetBody set, net/http silently resends a request that has an idempotency key if its connection is closed.
	req.GetBody = nil
	c.addHeaders(req, a)
	req.Header.Set(httpapi.HeaderIdempotencyKey, key)
	req.Header.Set(commandhttp.HeaderFirstAttempt, strconv.FormatBool(first))
	resp, err := c.client.Do(req)
	if err != nil {
		return noResponse
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		commandhttp.ExecuteResponse
		Code string `json:"code"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return noResponse
	}
	return observe.CommandAnswer{
		Outcome: model.Outcome(resp.Header.Get(httpapi.HeaderOutcome)), Received: true, Problem: answer.Code,
		Reason: answer.Reason,
	}
}

func (c *caller) addHeaders(req *http.Request, a load.Arrival) {
	req.Header.Set(httpapi.HeaderCaller, string(a.Caller))
	if c.deadlineHeader != "" {
		req.Header.Set(httpapi.HeaderDeadline, c.deadlineHeader)
	}
}
