package budget

import "time"

const (
	// usedRatio and usedSlack are the parts of what the fleet may send extra that its daemons use. The rest covers attempts
	// whose arrival at the server is uncertain and daemons that are not known yet.
	usedRatio = 0.8
	usedSlack = 0.75
	// restartedSlack is the part that a daemon has in the first span after its start: it may have spent usedSlack just before,
	// and may be restarted twice in a span.
	restartedSlack = (1 - usedSlack) / 2
)

// FleetRule bounds the extra attempts of all daemons together to one service: in any Span, Ratio for each request and Slack
// besides.
type FleetRule struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// FleetShare is one daemon's part of a FleetRule. Requests are counted where they arrive, so that the ratio's part needs no
// exchange between daemons; the slack is divided evenly. Create it with NewFleet. It is not safe for concurrent use.
type FleetShare struct {
	rule   FleetRule
	window Window
	began  time.Time
}

// NewFleetShare returns the part of a daemon that started at began.
func NewFleetShare(rule FleetRule, began time.Time) FleetShare {
	return FleetShare{rule: rule, window: NewWindow(0, 0, rule.Span, began), began: began}
}

// SetRule changes the rule. What was counted stays, in windows of the span before.
func (f *FleetShare) SetRule(rule FleetRule) { f.rule = rule }

// OnRequest counts one request.
func (f *FleetShare) OnRequest(now time.Time) { f.window.OnRequest(now) }

// Spend counts one extra attempt if the part of one of the given number of daemons allows it, and tells whether it does. part,
// in (0, 1], is the share of it that the attempt may use, so that some is left for more important ones.
func (f *FleetShare) Spend(part float64, daemons int, now time.Time) bool {
	f.window.advance(now)
	return f.window.spend(part * (f.rule.Ratio*usedRatio*float64(f.window.baseN) + f.slack(now)/float64(daemons)))
}

// slack is what all daemons together would have if all were as old as this one.
func (f *FleetShare) slack(now time.Time) float64 {
	used := usedSlack
	if now.Sub(f.began) < f.rule.Span {
		used = restartedSlack
	}
	return f.rule.Slack * used
}
