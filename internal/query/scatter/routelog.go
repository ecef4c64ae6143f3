package scatter

import (
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
)

// logAttempt logs an attempt that ended without an accepted reply, unless it was cancelled.
func (c *routeCall) logAttempt(i int, q *dispatch.QueryAttempt, status backend.Status, now time.Time) {
	if status == backend.StatusCancelled {
		return
	}
	c.searcher.Log.Info().Str("id", c.message.ID).Str("service", string(c.service(&c.shards[i]))).
		Str("server", string(q.Server.Name())).Int("attempt", c.shards[i].attempts).Str("status", status.String()).
		Dur("after", now.Sub(q.Started)).Msg("attempt_failed")
}

// logAnswer logs the result of a request that this daemon gathered, with the times and counts that led to it.
func (c *routeCall) logAnswer(req *RouteRequest, a *RouteAnswer, callerLeft bool) {
	event := c.searcher.Log.Info()
	if a.Outcome != model.OutcomeComplete {
		c.logMissing(event)
	}
	if c.hedges > 0 {
		event.Dur("hedge_first", c.firstHedge.Sub(req.Arrived)).Dur("hedge_last", c.lastHedge.Sub(req.Arrived))
	}
	event.Uint32("attempts", c.attempts).Int("hedges", c.hedges).Int("retries", c.retries).
		Int("lent", c.remoteCharges).Int("budget_refused", c.budgetRefused).Int("other_region", c.otherRegion).
		Bool("delegated", req.delegated).Bool("extra", req.extra)
	logRequest(event, req, a, c.due, c.writeLag, callerLeft)
}

// logRequest logs what is known of each answered request.
func logRequest(event *zerolog.Event, req *RouteRequest, a *RouteAnswer, due time.Time, lag time.Duration, callerLeft bool) {
	now := time.Now()
	event.Str("id", req.Message.ID).Str("route", string(req.Route.Name)).
		Uint64("version", uint64(req.Topology.Routing.Version)).Uint64("topology", uint64(req.Topology.Revision)).
		Str("outcome", string(a.Outcome)).Int("shards", len(req.Shards)).Int("missing", a.MissingShards).
		Dur("pushback", a.Pushback).Bool("caller_left", callerLeft).
		Dur("took", now.Sub(req.Arrived)).Dur("due", due.Sub(req.Arrived)).Dur("lag", lag).
		Dur("target", req.Route.Target).Dur("caller_rtt", req.CallerPath.RoundTrip).
		Bool("caller_connected", req.CallerPath.NewConnection).Dur("left", req.Deadline.Sub(now)).Msg("request_answered")
}

// maxLoggedShards is the maximum number of missing shards that a log line names.
const maxLoggedShards = 5

func (c *routeCall) logMissing(event *zerolog.Event) {
	var names []string
	hedged := 0
	for i := range c.shards {
		sh := &c.shards[i]
		if sh.messageReply != nil {
			continue
		}
		if len(names) < maxLoggedShards {
			names = append(names, string(sh.shard.Name))
		}
		if sh.attempts > 1 {
			hedged++
		}
	}
	event.Strs("missing_services", names).Int("missing_hedged", hedged)
}
