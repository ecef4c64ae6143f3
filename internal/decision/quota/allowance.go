package quota

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Allowance states by how much the requests of a workspace may exceed its quota: in any Window, at most
// (rate x Window + burst) x (1 + Overage) + Slack requests may be admitted.
type Allowance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// validityShare is the part of the overage that pays for the time between the grant of a token and its use. The rest is
	// reserved for the rounding of times.
	validityShare = 0.7
	// minGrantValidity and maxGrantValidity bound GrantValidity: no owner in another region answers within a shorter time, and no
	// caller should wait longer.
	minGrantValidity = 50 * time.Millisecond
	maxGrantValidity = 500 * time.Millisecond
	// startShare is the part of the slack that covers the tokens with which new owners start. Callers get the rest.
	startShare = 0.3
	// maxStart is the largest number of tokens with which an owner starts, so that the first request after a change is served.
	maxStart = 1
)

// GrantValidity returns for how long a token may be used after it was asked for. A token that was granted before a window and is used
// in it counts in addition to the window's own, so this is limited by the overage.
func (a Allowance) GrantValidity() time.Duration {
	d := time.Duration(validityShare * a.Overage * float64(a.Window))
	return min(maxGrantValidity, max(minGrantValidity, d))
}

// ZonePart returns the part of a quota that one of the given number of zones grants, at a daemon that has been its owner for age. The
// parts use the allowance up, so that no request is refused that the quota still permits: in a window, the zones together grant at most
// their bursts and the tokens that accrue in it and in GrantValidity, and startShare of the slack is left for changes of owners.
func (a Allowance) ZonePart(q model.Quota, zones int, age time.Duration) Part {
	n := float64(max(1, zones))
	// A zone whose burst is below one token would grant none.
	burst := max(1, q.Burst/n)
	permitted := (q.Rate*a.Window.Seconds()+q.Burst)*(1+a.Overage) + (1-startShare)*a.Slack
	rate := (permitted - n*burst) / (a.Window + a.GrantValidity()).Seconds()
	return Part{
		Rate: max(q.Rate, rate) / n, Burst: burst, Start: min(maxStart, startShare*a.Slack/n), Age: max(0, age),
	}
}
