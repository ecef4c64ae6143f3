package budget

import "time"

const (
	// ratioFraction and slackFraction are the fractions of FleetRule.Ratio and FleetRule.Slack that the daemons spend. The rest
	// covers attempts that may or may not have reached a server, and daemons that are not known yet.
	ratioFraction = 0.8
	slackFraction = 0.75
	// restartSlackFraction replaces slackFraction in the first span after a daemon's start: the daemon may have spent
	// slackFraction just before it restarted, and may restart twice within a span.
	restartSlackFraction = (1 - slackFraction) / 2
)

// FleetRule bounds the extra attempts that all daemons together send to one service: in any period of length Span, Ratio times
// the number of requests, plus Slack.
type FleetRule struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// FleetShare is one daemon's share of a FleetRule. Each daemon counts the requests that it receives, so that the ratio needs
// no communication between daemons; the slack is divided evenly. Create it with NewFleetShare. It is not safe for concurrent
// use.
type FleetShare struct {
	rule    FleetRule
	window  Window
	started time.Time
}

// NewFleetShare returns the share of a daemon that started at the given time.
func NewFleetShare(rule FleetRule, started time.Time) FleetShare {
	return FleetShare{rule: rule, window: NewWindow(0, 0, rule.Span, started), started: started}
}

// SetRule changes the rule at now. The counts are kept unless the Span changes. With another Span they start anew, and the
// slack is that of a daemon that has just started, since what was spent before is not known for the new window.
func (f *FleetShare) SetRule(rule FleetRule, now time.Time) {
	if rule.Span != f.rule.Span {
		*f = NewFleetShare(rule, now)
	}
	f.rule = rule
}

// OnRequest counts one request to the service.
func (f *FleetShare) OnRequest(now time.Time) { f.window.OnRequest(now) }

// Spend counts one extra attempt and returns true if this daemon's share allows it. daemons is the number of daemons that
// divide the slack. fraction, in (0, 1], is the fraction of the share that the attempt may use; values below 1 reserve the
// rest for more important attempts.
func (f *FleetShare) Spend(fraction float64, daemons int, now time.Time) bool {
	f.window.advance(now)
	return f.window.spend(fraction * (f.rule.Ratio*ratioFraction*float64(f.window.requestCount) + f.slack(now)/float64(daemons)))
}

// slack returns the slack of all daemons together if all of them had run for as long as this one.
func (f *FleetShare) slack(now time.Time) float64 {
	fraction := slackFraction
	if now.Sub(f.started) < f.rule.Span {
		fraction = restartSlackFraction
	}
	return f.rule.Slack * fraction
}
