package quota

import "time"

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
)

// Overdraft returns how many requests the agent of one of the given number of regions may admit before the owner granted them. The
// overdrafts of all regions, counted twice, are at most the slack. 0 means that each request waits for the owner.
func (a Allowance) Overdraft(regions int) int {
	if regions <= 0 || a.Slack <= 0 {
		return 0
	}
	return int(a.Slack / float64(2*regions))
}

// GrantValidity returns for how long a token may be used after it was asked for. A token that was granted before a window and is used
// in it counts in addition to the window's own, so this is limited by the overage.
func (a Allowance) GrantValidity() time.Duration {
	d := time.Duration(validityShare * a.Overage * float64(a.Window))
	return min(maxGrantValidity, max(minGrantValidity, d))
}
